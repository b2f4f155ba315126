//! HTML report with plots in one self-contained page that loads no external resources.

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
    aims::{ObjectiveScore, site_scores, summarize_by_site},
    journal::Entry,
};

const LOWEST_COLOR: RGBColor = RGBColor(0xc2, 0x3b, 0x22);
const MEAN_COLOR: RGBColor = RGBColor(0xb9, 0xc8, 0xa8);
const TEXT_COLOR: RGBColor = RGBColor(0x33, 0x33, 0x33);
const SCORE_COLOR: RGBColor = RGBColor(0x4f, 0x6d, 0x2f);
const PLOT_WIDTH: u32 = 900;
const BAR_HEIGHT: u32 = 22;

/// Error while drawing a plot.
#[derive(Debug, Error)]
#[error("a plot could not be drawn: {0}")]
pub struct PlotError(String);

fn plot_error(e: impl std::fmt::Display) -> PlotError {
    PlotError(e.to_string())
}

/// Returns the report as an HTML page; its table has at most `top` rows.
pub fn report(
    entries: &[Entry],
    objective_scores: &[ObjectiveScore],
    top: usize,
) -> Result<String, PlotError> {
    let site_scores = site_scores(entries);
    let mut sites = Vec::new();
    for (site, objectives) in summarize_by_site(objective_scores) {
        let bars = bars(&objectives)?;
        let line = match site_scores.get(site) {
            Some(site_scores) => Some(line(site_scores)?),
            None => None,
        };
        sites.push((site, bars, line));
    }
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "oliveshift: objectives by score" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "Objectives by score" }
                p {
                    "Results on simulated machines, from " (entries.len()) " journal entries. "
                    "An objective scores 1 at the best possible result and 0 at the worst."
                }
                @for (site, bars, line) in &sites {
                    h2 { (site) }
                    p { "Mean score of each objective over all its days, and the lowest score of a day:" }
                    (PreEscaped(bars))
                    @if let Some(line) = line {
                        p { "Site scores in journal order; filled circle: full run, ring: quick run:" }
                        (PreEscaped(line))
                    }
                }
                h2 { "Lowest scores" }
                table {
                    thead { tr {
                        @for head in ["lowest", "mean", "runs", "site", "day", "objective", "reached", "journal"] {
                            th { (head) }
                        }
                    } }
                    tbody {
                        @for score in objective_scores.iter().take(top) {
                            tr {
                                td { (format!("{:.2}", score.lowest)) }
                                td { (format!("{:.2}", score.mean)) }
                                td { (score.runs) }
                                td { (score.site) }
                                td { (score.day) }
                                td { (score.objective) }
                                td { (score.reached) }
                                td { code { (score.journal) } }
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

/// Bar chart with one bar for each objective: its mean score, with a mark at the lowest.
fn bars(objectives: &[(String, f64, f64)]) -> Result<String, PlotError> {
    let mut svg = String::new();
    let height = BAR_HEIGHT * objectives.len() as u32 + 50;
    {
        let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, height)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let rows = 0.0..objectives.len() as f64;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .margin_left(330)
            .x_label_area_size(28)
            .build_cartesian_2d(0.0..1.0f64, rows)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .disable_y_mesh()
            .disable_y_axis()
            .x_labels(6)
            .label_style(("sans-serif", 13).into_font().color(&TEXT_COLOR))
            .draw()
            .map_err(plot_error)?;
        // The y axis points up, so the first objective gets the highest row.
        let row = |i: usize| (objectives.len() - 1 - i) as f64;
        let bar = |(i, objective): (usize, &(String, f64, f64))| {
            Rectangle::new(
                [(0.0, row(i) + 0.15), (objective.2, row(i) + 0.85)],
                MEAN_COLOR.filled(),
            )
        };
        let bars = objectives.iter().enumerate().map(bar);
        chart.draw_series(bars).map_err(plot_error)?;
        let mark = |(i, objective): (usize, &(String, f64, f64))| {
            let ends = vec![(objective.1, row(i) + 0.1), (objective.1, row(i) + 0.9)];
            PathElement::new(ends, ShapeStyle::from(&LOWEST_COLOR).stroke_width(3))
        };
        let marks = objectives.iter().enumerate().map(mark);
        chart.draw_series(marks).map_err(plot_error)?;
        let name = |(i, objective): (usize, &(String, f64, f64))| {
            let font = ("sans-serif", 13).into_font().color(&TEXT_COLOR);
            EmptyElement::at((0.0, row(i) + 0.5)) + Text::new(objective.0.clone(), (-325, -7), font)
        };
        let names = objectives.iter().enumerate().map(name);
        chart.draw_series(names).map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}

/// Line chart of a site's scores in the given order.
fn line(site_scores: &[(f64, bool)]) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (PLOT_WIDTH, 220)).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(8)
            .x_label_area_size(8)
            .y_label_area_size(44)
            .build_cartesian_2d(-0.5..site_scores.len() as f64 - 0.5, 0.0..1.0f64)
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(0)
            .y_labels(6)
            .label_style(("sans-serif", 13).into_font().color(&TEXT_COLOR))
            .draw()
            .map_err(plot_error)?;
        let points = || site_scores.iter().enumerate().map(|(i, s)| (i as f64, s.0));
        chart
            .draw_series(LineSeries::new(points(), MEAN_COLOR.stroke_width(2)))
            .map_err(plot_error)?;
        for (quick, label) in [(false, "full"), (true, "quick")] {
            let style = if quick {
                SCORE_COLOR.stroke_width(2)
            } else {
                SCORE_COLOR.filled()
            };
            let of_kind = points().zip(site_scores).filter(|(_, s)| s.1 == quick);
            let circles = of_kind.map(|(at, _)| Circle::new(at, 4, style));
            chart
                .draw_series(circles)
                .map_err(plot_error)?
                .label(label)
                .legend(move |at| Circle::new(at, 4, style));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .border_style(MEAN_COLOR)
            .label_font(("sans-serif", 13).into_font().color(&TEXT_COLOR))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(svg)
}
