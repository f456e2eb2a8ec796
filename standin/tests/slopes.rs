//! Tests of the lines through measured points, and of one measurement.

use rstest::rstest;
use standin::slopes::{Fit, Name, Place, Point, Settings, measure};
use std::path::PathBuf;

fn points(values: &[(f64, f64)]) -> Vec<Point> {
    values.iter().map(|(x, y)| Point::new(*x, *y)).collect()
}

#[rstest]
#[case::exact(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)], 3.0, 2.0, 1.0, 0.0)]
#[case::flat(&[(1.0, 4.0), (2.0, 4.0)], 4.0, 0.0, 1.0, 0.0)]
#[case::one_size(&[(2.0, 4.0), (2.0, 6.0)], 5.0, 0.0, 0.0, 1.0)]
#[case::noisy(&[(0.0, 0.0), (1.0, 2.0), (2.0, 1.0)], 0.5, 0.5, 0.25, 1.0)]
fn line_of_least_squares(
    #[case] values: &[(f64, f64)],
    #[case] base: f64,
    #[case] slope: f64,
    #[case] r2: f64,
    #[case] residual: f64,
) {
    let fit = Fit::new(&points(values));
    let got = [fit.base, fit.slope, fit.r2, fit.residual];
    for (got, expected) in got.into_iter().zip([base, slope, r2, residual]) {
        assert!((got - expected).abs() < 1e-9, "{fit:?}");
    }
    assert!((fit.at(10.0) - base - slope * 10.0).abs() < 1e-9);
}

#[tokio::test(flavor = "multi_thread")]
async fn rows_of_a_commit_are_counted_one_by_one() {
    let settings = Settings {
        place: Place {
            programs: PathBuf::new(),
            folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
        },
        repeats: 1,
        seconds: 1,
    };
    let slopes = measure(Name::Claims, &settings)
        .await
        .expect("no daemon is needed");
    let [rows, commits] = slopes.as_slice() else {
        panic!("two slopes: {slopes:?}");
    };
    for (rows, commits) in rows.points.iter().zip(&commits.points) {
        assert!(commits.y > 0.0);
        assert!((rows.y - rows.x * commits.y).abs() < 1e-6);
    }
}
