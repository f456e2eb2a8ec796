//! Bar chart of reports, as SVG.

use plotters::{
    drawing::{DrawingAreaErrorKind, IntoDrawingArea},
    prelude::{
        ChartBuilder, Color, IntoSegmentedCoord, Palette, Palette99, Rectangle, SVGBackend,
        SegmentValue, WHITE,
    },
};
use std::path::Path;

/// Width and height of the chart, in pixels.
const SIZE: (u32, u32) = (960, 480);

/// One bar.
#[derive(Clone, Debug)]
pub struct Bar {
    /// Name under the bar.
    pub name: String,
    /// Height of the bar.
    pub value: f64,
}

/// Error of the chart's file.
type Error = DrawingAreaErrorKind<std::io::Error>;

/// Draws a bar chart into an SVG file.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn plot(path: &Path, title: &str, bars: &[Bar]) -> Result<(), Error> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let top = bars.iter().map(|bar| bar.value).fold(0.0, f64::max);
    let names: Vec<_> = bars.iter().map(|bar| bar.name.as_str()).collect();
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(10)
        .x_label_area_size(60)
        .y_label_area_size(60)
        .build_cartesian_2d((0..bars.len()).into_segmented(), 0.0..top.max(f64::EPSILON))?;
    let label = |segment: &SegmentValue<usize>| match segment {
        SegmentValue::CenterOf(index) => (*names.get(*index).unwrap_or(&"")).to_owned(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .x_labels(bars.len())
        .x_label_formatter(&label)
        .draw()?;
    chart.draw_series(bars.iter().enumerate().map(|(index, bar)| {
        let corners = [
            (SegmentValue::Exact(index), 0.0),
            (SegmentValue::Exact(index + 1), bar.value),
        ];
        let mut rectangle = Rectangle::new(corners, Palette99::pick(index).filled());
        rectangle.set_margin(0, 0, 4, 4);
        rectangle
    }))?;
    area.present()
}
