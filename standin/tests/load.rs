//! Tests of the load tool's schedules and measures.

use rstest::rstest;
use standin::{
    fleet::Name,
    load::{Answer, Arrival, Ending, Measure, Plan, Scenario},
    run::Run,
};
use std::{collections::BTreeMap, time::Duration};

fn arrivals(scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let span = Duration::from_secs(24);
    Plan::new(scenario, Name::Wasfi, 0.7, span, seed)
        .schedule
        .arrivals()
}

#[test]
fn schedule_depends_on_its_seed_alone() {
    let shown = |seed| format!("{:?}", arrivals(Scenario::Steady, seed));
    assert_eq!(shown(1), shown(1));
    assert_ne!(shown(1), shown(2));
}

#[test]
fn burst_triples_the_arrivals() {
    let within = |scenario| {
        let burst = Duration::from_secs(9)..Duration::from_secs(19);
        let arrivals = arrivals(scenario, 1);
        arrivals
            .iter()
            .filter(|arrival| burst.contains(&arrival.at))
            .count() as f64
    };
    let factor = within(Scenario::Burst) / within(Scenario::Steady);
    assert!((2.5..3.5).contains(&factor), "{factor}");
}

fn answer(request: &str, ending: Ending) -> Answer {
    Answer {
        request: request.into(),
        workspace: "tailors".into(),
        pipeline: "fitting".into(),
        ending,
        reason: "".into(),
        elapsed: Duration::from_millis(100),
        first: None,
        gaps: Vec::new(),
        refusals: Vec::new(),
        sends: 1,
    }
}

fn call(request: &str, completed: bool) -> Run {
    Run {
        token: request.into(),
        request: request.into(),
        seconds: 1.0,
        tokens: 10,
        completed,
    }
}

#[rstest]
#[case::useful(&[("a", true)], 1.0, 0)]
#[case::hedged(&[("a", true), ("a", false)], 2.0, 1)]
#[case::doubled(&[("a", true), ("a", true)], 2.0, 1)]
#[case::late(&[("a", true), ("b", true)], 2.0, 0)]
#[case::before_the_measured_time(&[("a", true), ("c", true)], 1.0, 0)]
fn cost_counts_what_attained_requests_needed_once(
    #[case] runs: &[(&str, bool)],
    #[case] cost: f64,
    #[case] extra: u64,
) {
    let answers = [answer("a", Ending::Attained), answer("b", Ending::Late)];
    let runs = runs
        .iter()
        .map(|(request, completed)| call(request, *completed));
    let runs = BTreeMap::from([("engines".into(), runs.collect())]);
    let measure = Measure::new(&answers, &runs);
    assert!((measure.engine_cost - cost).abs() < 1e-9, "{measure:?}");
    assert_eq!(measure.stages["engines"].extra, extra);
    assert!((measure.attainment - 0.5).abs() < 1e-9);
}

#[test]
fn refusal_of_a_request_that_ran_is_false() {
    let answers = [answer("a", Ending::NotRun), answer("b", Ending::NotRun)];
    let runs = BTreeMap::from([("engines".into(), vec![call("a", false)])]);
    assert_eq!(Measure::new(&answers, &runs).false_refusals, 1);
}
