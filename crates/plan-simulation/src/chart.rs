//! A chart of a rehearsal: the share of places that run the new build, and the cap, over time.
//!
//! `plotters` with its SVG backend: axes and scales are its business, and it needs no fonts to write text.

use crate::player::Played;
use plotters::prelude::*;
use violetseam_plan::{Micros, Plan};
use violetseam_release::Phase;

/// Draws the chart; an SVG document.
///
/// # Errors
/// A text that says why the chart cannot be drawn.
pub fn svg(plan: &Plan, played: &Played) -> Result<String, String> {
    let mut text = String::new();
    {
        let words = |e: &dyn std::fmt::Display| e.to_string();
        let root = SVGBackend::with_string(&mut text, (900, 420)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| words(&e))?;
        let last = played.entries.last().map_or(0, |e| e.at).max(1);
        let minutes = |at: Micros| at as f64 / 60e6;
        let end = minutes(last) * 1.02;
        let mut chart = ChartBuilder::on(&root)
            .caption(format!("{}: build {}", plan.name, plan.build), ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(44)
            .build_cartesian_2d(0.0..end, 0.0..1.05f64)
            .map_err(|e| words(&e))?;
        chart
            .configure_mesh()
            .x_desc("minutes from the offer")
            .y_desc("share")
            .draw()
            .map_err(|e| words(&e))?;
        let places = f64::from(plan.fleet.places.max(1));
        let running = steps(played.running.iter().map(|(at, n)| (minutes(*at), *n as f64 / places)), end);
        let caps = played.news.iter().map(|(at, news)| {
            let of_new = news.build == plan.build && news.phase != Phase::Withdrawn;
            (minutes(*at), if of_new { news.cap } else { 0.0 })
        });
        let caps = steps(std::iter::once((0.0, 0.0)).chain(caps), end);
        chart
            .draw_series(LineSeries::new(running, BLUE.stroke_width(2)))
            .map_err(|e| words(&e))?
            .label("places that run it")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], BLUE));
        chart
            .draw_series(LineSeries::new(caps, RED.stroke_width(2)))
            .map_err(|e| words(&e))?
            .label("cap of its traffic")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], RED));
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()
            .map_err(|e| words(&e))?;
        root.present().map_err(|e| words(&e))?;
    }
    Ok(text)
}

/// Values that hold until the next one, as the corners of a line.
fn steps(values: impl Iterator<Item = (f64, f64)>, end: f64) -> Vec<(f64, f64)> {
    let mut corners: Vec<(f64, f64)> = Vec::new();
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
