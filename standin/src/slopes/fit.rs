//! Straight line through measured points.

use serde::Serialize;

/// One measured point.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Point {
    /// Size that was set.
    pub x: f64,
    /// Value that was measured.
    pub y: f64,
}

/// Line of least squares through points.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Fit {
    /// Value at size 0.
    pub base: f64,
    /// Growth of the value for each unit of size.
    pub slope: f64,
    /// Share of the variance that the line explains, from 0 to 1.
    pub r2: f64,
    /// Largest distance of a point from the line.
    pub residual: f64,
}

impl Point {
    /// Creates a point.
    pub fn new(x: f64, y: f64) -> Self {
        Self { x, y }
    }
}

impl Fit {
    /// Fits a line; needs two sizes that differ, else the slope is 0.
    pub fn new(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|point| point.x).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.y).sum::<f64>() / count;
        let spread = |f: fn(&Point, f64, f64) -> f64| -> f64 {
            points.iter().map(|point| f(point, mean_x, mean_y)).sum()
        };
        let xx = spread(|point, x, _| (point.x - x).powi(2));
        let xy = spread(|point, x, y| (point.x - x) * (point.y - y));
        let yy = spread(|point, _, y| (point.y - y).powi(2));
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let base = mean_y - slope * mean_x;
        let distance = |point: &Point| (point.y - base - slope * point.x).abs();
        Self {
            base,
            slope,
            r2: if yy > 0.0 { slope * xy / yy } else { 1.0 },
            residual: points.iter().map(distance).fold(0.0, f64::max),
        }
    }

    /// Returns the value at a size.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
