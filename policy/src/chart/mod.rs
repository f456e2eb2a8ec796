//! State charts: finite state machines that are defined in TOML files.
//!
//! A chart names the start state, the final states and, for each state, the transitions: a step and
//! the state that it leads to. Its users store only the current state and look up transitions with
//! [`Chart::next`], so that the file is the only definition of the transitions.

mod error;

pub use self::error::{Category, Error};

use serde::Deserialize;
use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Debug,
    hash::Hash,
    str::FromStr,
};
use strum::{IntoEnumIterator, VariantNames};

/// Enum of the states or steps of a chart, with one name for each variant.
pub trait ChartName:
    Copy + Debug + Eq + FromStr + Hash + IntoEnumIterator + VariantNames + Into<&'static str>
{
}

impl<T> ChartName for T where
    T: Copy + Debug + Eq + FromStr + Hash + IntoEnumIterator + VariantNames + Into<&'static str>
{
}

/// Declares an enum of states or steps whose names in the chart are in snake case.
macro_rules! chart_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident),* $(,)? }) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Eq, Hash, PartialEq, strum::Display, strum::EnumIter,
            strum::EnumString, strum::IntoStaticStr, strum::VariantNames,
        )]
        #[strum(serialize_all = "snake_case")]
        pub enum $name {
            $($(#[$variant_doc])* $variant),*
        }
    };
}

pub(crate) use chart_enum;

/// State machine with states `S` and steps `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    start: S,
    finals: HashSet<S>,
    transitions: HashMap<(S, E), S>,
}

/// Representation of a chart in its file.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChartFile {
    start: String,
    finals: Vec<String>,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

impl<S: ChartName, E: ChartName> Chart<S, E> {
    /// Parses and checks the text of a chart file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart, a state has two transitions for one step, a state or step
    /// is unknown, a state is missing or unreachable, a final state has a transition, or another
    /// state has none.
    #[expect(
        clippy::should_implement_trait,
        reason = "named like the conventional constructor from text"
    )]
    pub fn from_str(text: &str) -> Result<Self, Error> {
        let file: ChartFile = toml::from_str(text).map_err(Error::syntax)?;
        let start = parse_state(&file.start)?;
        let finals = file
            .finals
            .iter()
            .map(|name| parse_state(name))
            .collect::<Result<_, _>>()?;
        let mut transitions = HashMap::new();
        for (from, steps) in &file.states {
            let from = parse_state::<S>(from)?;
            for (step, to) in steps {
                transitions.insert(
                    (
                        from,
                        parse_name(step).ok_or_else(|| Error::unknown_step(step))?,
                    ),
                    parse_state(to)?,
                );
            }
        }
        let chart = Self {
            start,
            finals,
            transitions,
        };
        chart.check(&file.states.keys().map(String::as_str).collect())?;
        Ok(chart)
    }

    /// Returns the initial state.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns the state after `step` in `state`, or `None` if there is no such transition.
    #[inline]
    pub fn next(&self, state: S, step: E) -> Option<S> {
        self.transitions.get(&(state, step)).copied()
    }

    /// Returns whether `state` is final, that is, has no transitions.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    /// Checks that each state is declared and reachable, and that exactly the final ones are
    /// terminal.
    fn check(&self, declared: &HashSet<&str>) -> Result<(), Error> {
        let reachable = self.reachable();
        for state in S::iter() {
            let name: &'static str = state.into();
            if !declared.contains(name) {
                return Err(Error::missing_state(name));
            }
            if !reachable.contains(&state) {
                return Err(Error::unreachable_state(name));
            }
            let has_transition = self.transitions.keys().any(|(from, _)| *from == state);
            if self.is_final(state) == has_transition {
                return Err(Error::invalid_final(name));
            }
        }
        Ok(())
    }

    fn reachable(&self) -> HashSet<S> {
        let mut reached = HashSet::from([self.start]);
        let mut pending = vec![self.start];
        while let Some(state) = pending.pop() {
            for (_, to) in self
                .transitions
                .iter()
                .filter(|((from, _), _)| *from == state)
            {
                if reached.insert(*to) {
                    pending.push(*to);
                }
            }
        }
        reached
    }
}

fn parse_name<T: ChartName>(text: &str) -> Option<T> {
    T::from_str(text).ok()
}

fn parse_state<S: ChartName>(text: &str) -> Result<S, Error> {
    parse_name(text).ok_or_else(|| Error::unknown_state(text))
}
