//! Draws a chart of a simulation: the share of places that run the new build, and the cap, over time.
//!
//! The `plotters` library draws axes and scales. Its SVG backend needs no font files to write text.

use crate::run::SimulationRun;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;
use thiserror::Error;
use violetseam_plan::{Micros, Plan};
use violetseam_release::Phase;

/// Width and height of the chart in pixels.
const SIZE: (u32, u32) = (900, 420);
const CAPTION_FONT_SIZE: i32 = 18;
const MARGIN: i32 = 12;
const X_LABEL_AREA_SIZE: i32 = 36;
const Y_LABEL_AREA_SIZE: i32 = 44;
const LINE_WIDTH: u32 = 2;
const LEGEND_LINE_LENGTH: i32 = 18;
const LEGEND_OPACITY: f64 = 0.8;
/// The upper end of the axis of shares. It is slightly above 1, so that a line at 1 is visible.
const MAX_SHARE: f64 = 1.05;
/// The end of the time axis, as a multiple of the time of the last timeline entry.
const TIME_AXIS_MULTIPLE: f64 = 1.02;
const MICROS_PER_MINUTE: f64 = 60e6;

/// The error of the drawing library when the chart cannot be drawn.
#[derive(Debug, Error)]
#[error("the chart cannot be drawn: {source}")]
pub struct ChartError {
    #[from]
    source: DrawingAreaErrorKind<std::io::Error>,
}

type Chart<'chart, 'text> =
    ChartContext<'chart, SVGBackend<'text>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A point of a line: the minutes since the offer and a share.
type Point = (f64, f64);

/// Draws the chart and returns it as an SVG document.
///
/// # Errors
///
/// [`ChartError`] if the drawing library fails.
pub fn draw_svg(plan: &Plan, run: &SimulationRun) -> Result<String, ChartError> {
    let mut svg = String::new();
    draw(SVGBackend::with_string(&mut svg, SIZE), plan, run)?;
    Ok(svg)
}

fn draw(backend: SVGBackend<'_>, plan: &Plan, run: &SimulationRun) -> Result<(), ChartError> {
    let end = end_of_time_axis(run);
    let root = backend.into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(format!("{}: build {}", plan.name, plan.build), ("sans-serif", CAPTION_FONT_SIZE))
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA_SIZE)
        .y_label_area_size(Y_LABEL_AREA_SIZE)
        .build_cartesian_2d(0.0..end, 0.0..MAX_SHARE)?;
    chart.configure_mesh().x_desc("minutes from the offer").y_desc("share").draw()?;
    draw_line(&mut chart, running_share(plan, run, end), BLUE, "places that run it")?;
    draw_line(&mut chart, caps(plan, run, end), RED, "cap of its traffic")?;
    chart.configure_series_labels().background_style(WHITE.mix(LEGEND_OPACITY)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn draw_line(
    chart: &mut Chart<'_, '_>,
    points: Vec<Point>,
    color: RGBColor,
    label: &str,
) -> Result<(), ChartError> {
    chart
        .draw_series(LineSeries::new(points, color.stroke_width(LINE_WIDTH)))?
        .label(label)
        .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + LEGEND_LINE_LENGTH, y)], color));
    Ok(())
}

fn minutes(at: Micros) -> f64 {
    at as f64 / MICROS_PER_MINUTE
}

fn end_of_time_axis(run: &SimulationRun) -> f64 {
    let last = run.timeline.last().map_or(0, |entry| entry.at).max(1);
    minutes(last) * TIME_AXIS_MULTIPLE
}

fn running_share(plan: &Plan, run: &SimulationRun, end: f64) -> Vec<Point> {
    let places = f64::from(plan.fleet.places.max(1));
    let shares = run.running_places.iter().map(|sample| (minutes(sample.at), sample.value as f64 / places));
    step_line(shares, end)
}

fn caps(plan: &Plan, run: &SimulationRun, end: f64) -> Vec<Point> {
    let caps = run.announcements.iter().map(|sample| {
        let announcement = &sample.value;
        let has_traffic = announcement.build == plan.build && announcement.phase != Phase::Withdrawn;
        (minutes(sample.at), if has_traffic { announcement.cap } else { 0.0 })
    });
    step_line(std::iter::once((0.0, 0.0)).chain(caps), end)
}

/// Returns the corners of a step line, in which each value holds until the next one.
fn step_line(values: impl Iterator<Item = Point>, end: f64) -> Vec<Point> {
    let mut corners: Vec<Point> = Vec::new();
    for (at, value) in values {
        if let Some(&(_, before)) = corners.last() {
            corners.push((at, before));
        }
        corners.push((at, value));
    }
    if let Some(&(_, last)) = corners.last() {
        corners.push((end, last));
    }
    corners
}
