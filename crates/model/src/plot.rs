//! Plots the results of a run as SVG.

use crate::pattern::{DISTURBANCE, DISTURBANCE_START, LENGTH};
use crate::result::{Counts, ReplayCounts};
use plotters::prelude::*;

const SIZE: (u32, u32) = (860, 260);
/// Length of the moving average, in seconds.
const AVERAGE_S: usize = 3;
/// Font family and size of all labels.
const LABELS: (&str, u32) = ("sans-serif", 15);
const COLORS: [RGBColor; 4] = [
    RGBColor(0, 90, 160),
    RGBColor(20, 130, 80),
    RGBColor(200, 90, 0),
    RGBColor(120, 120, 120),
];
const DISTURBANCE_COLOR: RGBColor = RGBColor(245, 235, 225);

/// Draws the worth of the responses over time, with one line per policy; returns
/// the content of an SVG file.
///
/// # Errors
///
/// Fails when the plotting library cannot draw the plot.
pub fn draw(pattern: &str, rows: &[(&str, ReplayCounts)]) -> anyhow::Result<String> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let end = LENGTH.as_secs_f64();
        let mut chart = ChartBuilder::on(&root)
            .margin(10)
            .caption(pattern, LABELS)
            .x_label_area_size(40)
            .y_label_area_size(55)
            .build_cartesian_2d(0.0..end, 0.0..1.05)?;
        let (from, to) = (
            DISTURBANCE_START.as_secs_f64(),
            (DISTURBANCE_START + DISTURBANCE).as_secs_f64(),
        );
        let area = Rectangle::new([(from, 0.0), (to, 1.05)], DISTURBANCE_COLOR.filled());
        chart.draw_series([area])?;
        chart
            .configure_mesh()
            .disable_x_mesh()
            .light_line_style(TRANSPARENT)
            .x_desc("seconds")
            .y_desc("worth of the answers")
            .label_style(LABELS)
            .axis_desc_style(LABELS)
            .draw()?;
        for ((policy, replay_counts), color) in rows.iter().zip(COLORS) {
            chart
                .draw_series(LineSeries::new(
                    points(replay_counts),
                    color.stroke_width(2),
                ))?
                .label(*policy)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        }
        chart
            .configure_series_labels()
            .position(SeriesLabelPosition::LowerRight)
            .background_style(WHITE)
            .border_style(BLACK)
            .label_font(LABELS)
            .draw()?;
        root.present()?;
    }
    Ok(svg)
}

fn points(replay_counts: &ReplayCounts) -> Vec<(f64, f64)> {
    let windows = replay_counts.seconds.windows(AVERAGE_S).enumerate();
    let point = |(second, window): (usize, &[Counts])| {
        let sum: f64 = window.iter().map(Counts::worth).sum();
        let middle = second as f64 + AVERAGE_S as f64 / 2.0;
        (middle, sum / AVERAGE_S as f64)
    };
    windows.map(point).collect()
}
