//! Plots of a saved run.

use std::path;

use base::class;
use plotters::prelude::Color as _;
use plotters::prelude::IntoDrawingArea as _;
use plotters::prelude::IntoLogRange as _;
use plotters::{coord, prelude};

use crate::{measure, report};

/// Width and height of the plot in pixels.
const SIZE_PX: (u32, u32) = (900, 840);

/// End of the horizontal axis: the plot shows quantiles up to the worst one in this many.
const MAX_ONE_IN: f64 = 1_000.0;

/// Number of points of one curve.
const CURVE_POINTS: u32 = 120;

/// Minimum time drawn, in milliseconds.
const MIN_TIME_MS: f64 = 0.1;

/// A plot cannot be drawn.
#[derive(Debug)]
#[derive(snafu::Snafu)]
pub enum PlotError {
    /// The histograms of the report are invalid.
    #[snafu(transparent)]
    Report {
        /// Error in the report.
        source: report::ReportError,
    },
    /// The plot cannot be drawn or written.
    #[snafu(display("plot {}: {detail}; check the path", path.display()))]
    Drawing {
        /// Path as given.
        path: path::PathBuf,
        /// Error from the plotting library.
        detail: String,
    },
}

/// One curve; a point `(x, y)` gives the time `y` that one in `x` values exceeds.
struct ClassCurve {
    class: class::TrafficClass,
    points: Vec<(f64, f64)>,
}

type PlotArea<'a> = prelude::DrawingArea<prelude::SVGBackend<'a>, coord::Shift>;
type DrawResult = Result<(), prelude::DrawingAreaErrorKind<std::io::Error>>;

/// Draws stall time and inter-token latency of `report` by class into the SVG file at `path`.
pub fn draw_report(report: &report::RunReport, path: &path::Path) -> Result<(), PlotError> {
    let stall = curves_of(report, |class| &class.stall)?;
    let gap = curves_of(report, |class| &class.gap)?;
    let area = prelude::SVGBackend::new(path, SIZE_PX).into_drawing_area();
    let drawn = draw_panels(&area, report, &stall, &gap);
    drawn.map_err(|error| PlotError::Drawing {
        path: path.to_owned(),
        detail: error.to_string(),
    })
}

fn curves_of(
    report: &report::RunReport,
    times: impl Fn(&report::ClassReport) -> &report::SavedTimes,
) -> Result<Vec<ClassCurve>, PlotError> {
    let mut curves = Vec::new();
    for (class, class_report) in &report.classes {
        let histogram = times(class_report).decode()?;
        if histogram.count() > 0 {
            curves.push(ClassCurve {
                class: *class,
                points: points_of(&histogram),
            });
        }
    }
    Ok(curves)
}

/// Returns points that are evenly spaced on the logarithmic scale.
fn points_of(histogram: &measure::TimeHistogram) -> Vec<(f64, f64)> {
    let point = |step: u32| {
        let one_in = MAX_ONE_IN.powf(f64::from(step) / f64::from(CURVE_POINTS));
        let time_ms = histogram.quantile_ms(1.0 - 1.0 / one_in);
        (one_in, time_ms.max(MIN_TIME_MS))
    };
    (0..=CURVE_POINTS).map(point).collect()
}

fn draw_panels(
    area: &PlotArea<'_>,
    report: &report::RunReport,
    stall: &[ClassCurve],
    gap: &[ClassCurve],
) -> DrawResult {
    area.fill(&prelude::WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE_PX.1 / 2);
    let stall_title = format!("{}: stall time of whole answers", report.scenario);
    draw_panel(&upper, &stall_title, stall)?;
    draw_panel(&lower, "time between tokens", gap)?;
    area.present()
}

fn draw_panel(area: &PlotArea<'_>, title: &str, curves: &[ClassCurve]) -> DrawResult {
    let times = curves.iter().flat_map(|curve| &curve.points);
    let max_ms = times.map(|(_, time_ms)| *time_ms).fold(1.0, f64::max);
    let mut chart = prelude::ChartBuilder::on(area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(
            (1.0..MAX_ONE_IN).log_scale(),
            (MIN_TIME_MS..max_ms * 1.5).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("worst one in N")
        .y_desc("milliseconds")
        .x_label_formatter(&|one_in| format!("1 in {one_in:.0}"))
        .y_label_formatter(&|time_ms| format!("{time_ms}"))
        .draw()?;
    for curve in curves {
        let color = color_of(curve.class);
        let points = curve.points.iter().copied();
        chart
            .draw_series(prelude::LineSeries::new(points, color.stroke_width(2)))?
            .label(curve.class.name())
            .legend(move |(x, y)| {
                prelude::PathElement::new([(x, y), (x + 18, y)], color.stroke_width(2))
            });
    }
    chart
        .configure_series_labels()
        .position(prelude::SeriesLabelPosition::UpperLeft)
        .border_style(prelude::BLACK)
        .background_style(prelude::WHITE)
        .draw()
}

const fn color_of(class: class::TrafficClass) -> prelude::RGBColor {
    match class {
        class::TrafficClass::Urgent => prelude::RGBColor(200, 40, 40),
        class::TrafficClass::Normal => prelude::RGBColor(30, 90, 200),
        class::TrafficClass::Deferrable => prelude::RGBColor(40, 140, 70),
    }
}
