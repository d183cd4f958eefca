//! Plots a move as SVG: the new version's share and the evidence over time.

use std::path::Path;

use plotters::prelude::*;

use cowslip_core::rollout::rollout_driver::CoursePoint;
use cowslip_core::rollout::rollout_record::RolloutRecord;
use cowslip_wire::evidence_messages::RolloutLine;

use crate::operator_error::OperatorError;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 600);

type PlotError = Box<dyn std::error::Error>;
type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

/// Plots a move into `file`.
pub fn draw(line: &RolloutLine, file: &Path) -> Result<(), OperatorError> {
    draw_charts(line, file).map_err(|error| {
        OperatorError::Usage(format!("cannot draw {}: {error}", file.display()))
    })
}

fn draw_charts(line: &RolloutLine, file: &Path) -> Result<(), PlotError> {
    let area = SVGBackend::new(file, PLOT_SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(PLOT_SIZE.1 as i32 / 2);
    let record = &line.record;
    let end_s = end_seconds(line);
    let title = format!("{} {} -> {}", record.service, record.from, record.to);
    let share = PlotLine::new("share of calls, %", share_points(record, end_s), BLUE);
    draw_lines(&upper, &title, end_s, vec![share])?;
    let failed = PlotLine::new(
        "calls of the new version failed, %",
        failure_points(line),
        RED,
    );
    let evidence =
        PlotLine::new("evidence against it, %", evidence_points(line), MAGENTA);
    draw_lines(&lower, "evidence", end_s, vec![failed, evidence])?;
    area.present()?;
    Ok(())
}

/// A line of a chart: points of seconds and percent.
struct PlotLine {
    name: &'static str,
    points: Vec<(f64, f64)>,
    color: RGBColor,
}

impl PlotLine {
    fn new(name: &'static str, points: Vec<(f64, f64)>, color: RGBColor) -> Self {
        Self {
            name,
            points,
            color,
        }
    }
}

fn seconds(record: &RolloutRecord, at_ms: u64) -> f64 {
    at_ms.saturating_sub(record.started_ms) as f64 / 1_000.0
}

fn end_seconds(line: &RolloutLine) -> f64 {
    let record = &line.record;
    let ended = record.ended.map(|(_, at_ms)| at_ms);
    let last = line.course.last().map(|point| point.at_ms);
    let end = ended.or(last).unwrap_or(record.due_ms);
    seconds(record, end).max(1.0)
}

/// Returns the new version's share over time, as steps.
fn share_points(record: &RolloutRecord, end_s: f64) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    let mut share = 0.0;
    for step in &record.steps {
        let at = seconds(record, step.at_ms);
        points.push((at, share));
        share = f64::from(step.share_per_mille) / 10.0;
        points.push((at, share));
    }
    points.push((end_s, share));
    points.push((end_s, f64::from(record.share()) / 10.0));
    points
}

/// Returns the percentage of failed calls of the new version in each interval of
/// the course. Intervals without calls are left out.
fn failure_points(line: &RolloutLine) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    for pair in line.course.windows(2) {
        let [before, now] = [pair[0].counts, pair[1].counts];
        let calls = now.new_calls.saturating_sub(before.new_calls);
        let failures = now.new_failures.saturating_sub(before.new_failures);
        if calls > 0 {
            let percent = failures as f64 * 100.0 / calls as f64;
            points.push((seconds(&line.record, pair[1].at_ms), percent));
        }
    }
    points
}

fn evidence_points(line: &RolloutLine) -> Vec<(f64, f64)> {
    let point = |point: &CoursePoint| {
        let percent = point.suspicion.min(1.0) * 100.0;
        (seconds(&line.record, point.at_ms), percent)
    };
    line.course.iter().map(point).collect()
}

fn draw_lines(
    area: &PlotArea<'_>,
    title: &str,
    end_s: f64,
    lines: Vec<PlotLine>,
) -> Result<(), PlotError> {
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..end_s, 0.0..105.0)?;
    chart
        .configure_mesh()
        .x_desc("seconds since the start")
        .y_desc("%")
        .draw()?;
    for line in lines {
        let color = line.color;
        let series = LineSeries::new(line.points, color);
        chart
            .draw_series(series)?
            .label(line.name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    Ok(())
}
