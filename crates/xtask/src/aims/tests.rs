use super::*;

fn entry(id: &str, ok: bool, score: f64) -> Entry {
    let text = format!(
        r#"{{"id":"{id}","cmd":"score","argv":[],"site":"x <&> y","ok":{ok},"score":0.7,"days":[
            {{"G":0.8,"name":"calm","rules":{{}},"aims":[["up feed: 0.9 (aim 0.95)",{score}],
            ["submit 1000 ms: 1.0 (aim 0.9)",1.0]]}},
            {{"G":0.5,"name":"zone","rules":{{}},"aims":[["up feed: 0.5 (aim 0.95)",0.4]]}}]}}"#
    );
    Entry::parse(id, &text).expect("an entry")
}

#[test]
fn lowest_score_comes_first_with_its_entry() {
    let entries = [
        entry("a", true, 0.3),
        entry("b", true, 0.1),
        entry("c", false, 0.0),
    ];
    let objective_scores = summarize(&entries);
    assert_eq!(objective_scores.len(), 3);
    let first = &objective_scores[0];
    assert_eq!((&*first.day, &*first.objective), ("calm", "up feed"));
    assert_eq!((first.lowest, first.runs, &*first.journal), (0.1, 2, "b"));
    assert!((first.mean - 0.2).abs() < 1e-9);
    assert_eq!(first.reached, "0.9 (aim 0.95)");
    let sites = summarize_by_site(&objective_scores);
    let objectives = &sites["x <&> y"];
    assert_eq!((&*objectives[0].0, objectives[0].1), ("up feed", 0.1));
    assert!(
        (objectives[0].2 - 0.3).abs() < 1e-9,
        "0.3, 0.1 and twice 0.4"
    );
    assert!(table(&objective_scores).lines().count() == 4);
}

#[test]
fn report_loads_no_external_resources() {
    let entries = [entry("a", true, 0.3), entry("b", true, 0.1)];
    let objective_scores = summarize(&entries);
    let page = plots::report(&entries, &objective_scores, 2).expect("the report can be drawn");
    assert_eq!(
        page.matches("<svg").count(),
        2,
        "objectives and scores of a site"
    );
    assert!(page.contains("x &lt;&amp;&gt; y") && !page.contains("x <&> y"));
    for external in ["<script", "<link", "src=", "@import", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    let rows = page.matches("<tr>").count();
    assert_eq!(rows, 3, "a head and two rows");
}
