//! Plots burn rates over the last day as SVG.

use crate::burn::{FAST_RATE, SLOW_RATE, rates};
use crate::changes::MeshChange;
use crate::request_counts::{RequestCounts, find_service};
use crate::{Objective, Report};
use knapweed_observe::History;
use knapweed_observe::history::ChangeKind;
use knapweed_world::{Name, UnixMillis};
use plotters::prelude::*;
use std::collections::BTreeMap;

const SIZE: (u32, u32) = (860, 260);
/// Length of the moving average, in minutes.
const AVERAGE_MIN: u64 = 5;
/// Longest time span of a plot, in minutes.
const DAY_MIN: u64 = 24 * 60;
const MS_PER_MIN: u64 = 60_000;
const S_PER_MIN: u64 = 60;
/// Shortest time span of a plot, in minutes.
const MIN_SPAN_MIN: f64 = 10.0;
/// Factor between the highest value and the top of the value axis.
const HEADROOM: f64 = 1.1;

/// Font family and size of all labels.
const LABELS: (&str, u32) = ("sans-serif", 15);
const AVAILABILITY: RGBColor = RGBColor(0, 90, 160);
const LATENCY: RGBColor = RGBColor(200, 90, 0);
const LIMIT: RGBColor = RGBColor(170, 30, 30);
const VERSION: RGBColor = RGBColor(170, 170, 170);
const ROLLOUT: RGBColor = RGBColor(20, 130, 80);

/// Failure of the plotting library to draw the plot of a service.
#[derive(Debug, thiserror::Error)]
#[error("could not draw the plot of {service}: {cause}")]
pub struct Error {
    service: Name,
    cause: String,
}

/// Time in minutes relative to the report (0 or below), and the value.
type Point = (f64, f64);

/// Burn rates with one point per minute.
#[derive(Default)]
struct Lines {
    availability: Vec<Point>,
    latency: Vec<Point>,
}

/// Draws the plot of one service; returns an `svg` element.
pub(crate) fn draw(
    report: &Report,
    histories: &[History],
    service: &Name,
    objective: &Objective,
) -> Result<String, Error> {
    let lines = lines(histories, service, objective, report.until);
    let mut svg = String::new();
    let drawn = draw_lines(&mut svg, report, service, &lines);
    drawn.map_err(|err| Error {
        service: service.clone(),
        cause: err.to_string(),
    })?;
    Ok(svg)
}

/// Calculates the moving averages over [`AVERAGE_MIN`] minutes, one point per minute.
fn lines(histories: &[History], service: &Name, objective: &Objective, until: UnixMillis) -> Lines {
    let minutes = minutes(histories, service, objective);
    let mut lines = Lines::default();
    let last = until.0 / MS_PER_MIN;
    let first = last.saturating_sub(DAY_MIN);
    for minute in minutes.range(first..=last).map(|(m, _)| *m) {
        let mut sum = RequestCounts::default();
        let from = (minute + 1).saturating_sub(AVERAGE_MIN);
        minutes.range(from..=minute).for_each(|(_, t)| sum.add(t));
        let x = minute as f64 - last as f64;
        let rates = rates(&sum, objective);
        lines
            .availability
            .extend(rates.availability.map(|y| (x, y)));
        lines.latency.extend(rates.latency.map(|y| (x, y)));
    }
    lines
}

/// Sums the requests of all nodes by minute since the Unix epoch.
fn minutes(
    histories: &[History],
    service: &Name,
    objective: &Objective,
) -> BTreeMap<u64, RequestCounts> {
    let mut minutes: BTreeMap<u64, RequestCounts> = BTreeMap::new();
    for history in histories {
        let buckets = find_service(history, service).map_or(&[][..], |s| &s.minutes);
        for bucket in buckets {
            let counts = minutes
                .entry(u64::from(bucket.start_s) / S_PER_MIN)
                .or_default();
            let bound_us = Some(objective.latency_us());
            counts.add_bucket(bucket, &history.latency_bounds_us, bound_us);
        }
    }
    minutes
}

fn draw_lines(
    svg: &mut String,
    report: &Report,
    service: &Name,
    lines: &Lines,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (left, top) = bounds(lines);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(40)
        .y_label_area_size(55)
        .build_cartesian_2d(left..0.0, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .light_line_style(TRANSPARENT)
        .x_desc("minutes before the report")
        .y_desc("burn rate")
        .label_style(LABELS)
        .axis_desc_style(LABELS)
        .x_label_formatter(&|x| format!("{x:.0}"))
        .y_label_formatter(&|y| format!("{y:.1}"))
        .draw()?;
    for change in &report.changes {
        let x = minutes_before(report.until, change.first);
        if let Some(color) = color_of(change, service).filter(|_| x >= left) {
            chart.draw_series(LineSeries::new([(x, 0.0), (x, top)], color))?;
        }
    }
    for rate in [SLOW_RATE, FAST_RATE].into_iter().filter(|r| *r <= top) {
        let ends = [(left, rate), (0.0, rate)];
        chart.draw_series(LineSeries::new(ends, LIMIT))?;
    }
    let rows = [
        ("availability", &lines.availability, AVAILABILITY),
        ("latency", &lines.latency, LATENCY),
    ];
    for (label, points, color) in rows {
        let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(series)?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(VERSION)
        .label_font(LABELS)
        .draw()?;
    root.present()?;
    Ok(())
}

/// Returns the start of the time axis and the top of the value axis.
fn bounds(lines: &Lines) -> (f64, f64) {
    let points = || lines.availability.iter().chain(&lines.latency);
    let left = points().map(|p| p.0).fold(-MIN_SPAN_MIN, f64::min);
    let top = points().map(|p| p.1).fold(1.0, f64::max);
    (left, top * HEADROOM)
}

fn minutes_before(until: UnixMillis, at: UnixMillis) -> f64 {
    -until.since(at).as_secs_f64() / S_PER_MIN as f64
}

/// Color of a change on the plot of `service`; `None` when it concerns another service.
fn color_of(change: &MeshChange, service: &Name) -> Option<RGBColor> {
    match &change.kind {
        ChangeKind::Version { .. } => Some(VERSION),
        ChangeKind::Shares {
            service: changed, ..
        } => (changed == service).then_some(ROLLOUT),
    }
}
