//! The report: a page of its own with plots, nothing loaded from elsewhere.

use maud::{DOCTYPE, PreEscaped, html};
use plotters::{
    prelude::{
        ChartBuilder, Circle, EmptyElement, IntoDrawingArea, LineSeries, PathElement, Rectangle,
        SVGBackend, SeriesLabelPosition, Text,
    },
    style::{Color, IntoFont, RGBColor, ShapeStyle, WHITE},
};
use thiserror::Error;

use crate::{
    aims::{Worth, by_site, scores},
    journal::Entry,
};

const LEAST: RGBColor = RGBColor(0xc2, 0x3b, 0x22);
const MEAN: RGBColor = RGBColor(0xb9, 0xc8, 0xa8);
const INK: RGBColor = RGBColor(0x33, 0x33, 0x33);
const FULL: RGBColor = RGBColor(0x4f, 0x6d, 0x2f);
const WIDTH: u32 = 900;
const BAR: u32 = 22;

/// A plot could not be drawn.
#[derive(Debug, Error)]
#[error("a plot can't be drawn: {0}")]
pub struct NoPlot(String);

fn no_plot(e: impl std::fmt::Display) -> NoPlot {
    NoPlot(e.to_string())
}

/// The page.
pub fn report(entries: &[Entry], worths: &[Worth], top: usize) -> Result<String, NoPlot> {
    let scores = scores(entries);
    let mut sites = Vec::new();
    for (site, aims) in by_site(worths) {
        let bars = bars(&aims)?;
        let line = match scores.get(site) {
            Some(scores) => Some(line(scores)?),
            None => None,
        };
        sites.push((site, bars, line));
    }
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "oliveshift: aims by worth" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Aims by worth" }
                p {
                    "Figures from simulated machines, out of " (entries.len()) " entries of the journal. "
                    "An aim is worth 1 where nothing more can be had and 0 where it could not be worse."
                }
                @for (site, bars, line) in &sites {
                    h2 { (site) }
                    p { "Mean worth of each aim over all its days, and the least of a day:" }
                    (PreEscaped(bars))
                    @if let Some(line) = line {
                        p { "Scores in the order of the journal; filled: full, ring: quick:" }
                        (PreEscaped(line))
                    }
                }
                h2 { "The least worth" }
                table {
                    thead { tr {
                        @for head in ["least", "mean", "plays", "site", "day", "aim", "reached", "journal"] {
                            th { (head) }
                        }
                    } }
                    tbody {
                        @for worth in worths.iter().take(top) {
                            tr {
                                td { (format!("{:.2}", worth.least)) }
                                td { (format!("{:.2}", worth.mean)) }
                                td { (worth.plays) }
                                td { (worth.site) }
                                td { (worth.day) }
                                td { (worth.aim) }
                                td { (worth.reached) }
                                td { code { (worth.journal) } }
                            }
                        }
                    }
                }
            }
        }
    };
    Ok(page.into_string())
}

const STYLE: &str = "body{font:15px/1.4 sans-serif;max-width:64em;margin:2em auto;color:#333}\
    table{border-collapse:collapse}td,th{padding:.15em .7em;text-align:left;\
    border-bottom:1px solid #ddd}svg{max-width:100%;height:auto}";

/// One bar an aim: the mean, with a mark at the least.
fn bars(aims: &[(String, f64, f64)]) -> Result<String, NoPlot> {
    let mut svg = String::new();
    let height = BAR * aims.len() as u32 + 50;
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(no_plot)?;
        let rows = 0.0..aims.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .margin_left(330)
            .x_label_area_size(28)
            .build_cartesian_2d(0.0..1.0f64, rows)
            .map_err(no_plot)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .x_labels(6)
            .label_style(("sans-serif", 13).into_font().color(&INK))
            .draw()
            .map_err(no_plot)?;
        // The first of the list is on top.
        let row = |i: usize| (aims.len() - 1 - i) as f64;
        let bar = |(i, aim): (usize, &(String, f64, f64))| {
            Rectangle::new(
                [(0.0, row(i) + 0.15), (aim.2, row(i) + 0.85)],
                MEAN.filled(),
            )
        };
        let bars = aims.iter().enumerate().map(bar);
        chart.draw_series(bars).map_err(no_plot)?;
        let mark = |(i, aim): (usize, &(String, f64, f64))| {
            let ends = vec![(aim.1, row(i) + 0.1), (aim.1, row(i) + 0.9)];
            PathElement::new(ends, ShapeStyle::from(&LEAST).stroke_width(3))
        };
        let marks = aims.iter().enumerate().map(mark);
        chart.draw_series(marks).map_err(no_plot)?;
        let name = |(i, aim): (usize, &(String, f64, f64))| {
            let font = ("sans-serif", 13).into_font().color(&INK);
            EmptyElement::at((0.0, row(i) + 0.5)) + Text::new(aim.0.clone(), (-325, -7), font)
        };
        let names = aims.iter().enumerate().map(name);
        chart.draw_series(names).map_err(no_plot)?;
        area.present().map_err(no_plot)?;
    }
    Ok(svg)
}

/// A site's scores, one after the other.
fn line(scores: &[(f64, bool)]) -> Result<String, NoPlot> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH, 220)).into_drawing_area();
        area.fill(&WHITE).map_err(no_plot)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(8)
            .y_label_area_size(44)
            .build_cartesian_2d(-0.5..scores.len() as f64 - 0.5, 0.0..1.0f64)
            .map_err(no_plot)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .y_labels(6)
            .label_style(("sans-serif", 13).into_font().color(&INK))
            .draw()
            .map_err(no_plot)?;
        let points = || scores.iter().enumerate().map(|(i, s)| (i as f64, s.0));
        chart
            .draw_series(LineSeries::new(points(), MEAN.stroke_width(2)))
            .map_err(no_plot)?;
        for (quick, label) in [(false, "full"), (true, "quick")] {
            let style = if quick {
                FULL.stroke_width(2)
            } else {
                FULL.filled()
            };
            let of_kind = points().zip(scores).filter(|(_, s)| s.1 == quick);
            let circles = of_kind.map(|(at, _)| Circle::new(at, 4, style));
            chart
                .draw_series(circles)
                .map_err(no_plot)?
                .label(label)
                .legend(move |at| Circle::new(at, 4, style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .border_style(MEAN)
            .label_font(("sans-serif", 13).into_font().color(&INK))
            .draw()
            .map_err(no_plot)?;
        area.present().map_err(no_plot)?;
    }
    Ok(svg)
}
