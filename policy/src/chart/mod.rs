//! Interpreter of state charts.
//!
//! A chart is a TOML file that names a start state, the final states and, for each state, the
//! state that each step leads to. The code that follows a chart keeps the state, asks
//! [`Chart::next`] and holds no second copy of the transitions.

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

/// A closed set of names that a chart may use for its states or steps.
pub trait Name:
    Copy + Debug + Eq + FromStr + Hash + IntoEnumIterator + VariantNames + Into<&'static str>
{
}

impl<T> Name for T where
    T: Copy + Debug + Eq + FromStr + Hash + IntoEnumIterator + VariantNames + Into<&'static str>
{
}

/// Declares an enum whose variants a chart names in snake case.
macro_rules! names {
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

pub(crate) use names;

/// A state chart over the states `S` and the steps `E`.
#[derive(Clone, Debug)]
pub struct Chart<S, E> {
    start: S,
    finals: HashSet<S>,
    next: HashMap<(S, E), S>,
}

/// The chart as its file holds it.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    start: String,
    finals: Vec<String>,
    states: BTreeMap<String, BTreeMap<String, String>>,
}

impl<S: Name, E: Name> Chart<S, E> {
    /// Reads a chart from the text of its file.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a chart, two transitions of a state have one step, a state or a
    /// step is unknown, a state is missing or can't be reached, or a final state has a transition.
    #[expect(
        clippy::should_implement_trait,
        reason = "the name follows the usual constructor from text"
    )]
    pub fn from_str(text: &str) -> Result<Self, Error> {
        let file: File = toml::from_str(text).map_err(Error::syntax)?;
        let start = state(&file.start)?;
        let finals = file
            .finals
            .iter()
            .map(|name| state(name))
            .collect::<Result<_, _>>()?;
        let mut next = HashMap::new();
        for (from, steps) in &file.states {
            let from = state::<S>(from)?;
            for (step, to) in steps {
                next.insert(
                    (from, name(step).ok_or_else(|| Error::step(step))?),
                    state(to)?,
                );
            }
        }
        let chart = Self {
            start,
            finals,
            next,
        };
        chart.check(&file.states.keys().map(String::as_str).collect())?;
        Ok(chart)
    }

    /// Returns the state to begin in.
    pub fn start(&self) -> S {
        self.start
    }

    /// Returns the state that `step` leads to from `state`, if the chart allows it.
    #[inline]
    pub fn next(&self, state: S, step: E) -> Option<S> {
        self.next.get(&(state, step)).copied()
    }

    /// Returns whether nothing leads on from `state`.
    pub fn is_final(&self, state: S) -> bool {
        self.finals.contains(&state)
    }

    fn check(&self, present: &HashSet<&str>) -> Result<(), Error> {
        let reached = self.reached();
        for state in S::iter() {
            let name: &'static str = state.into();
            if !present.contains(name) {
                return Err(Error::missing(name));
            }
            if !reached.contains(&state) {
                return Err(Error::unreachable(name));
            }
            let leads_on = self.next.keys().any(|(from, _)| *from == state);
            if self.is_final(state) == leads_on {
                return Err(Error::end(name));
            }
        }
        Ok(())
    }

    fn reached(&self) -> HashSet<S> {
        let mut reached = HashSet::from([self.start]);
        let mut open = vec![self.start];
        while let Some(state) = open.pop() {
            for (_, to) in self.next.iter().filter(|((from, _), _)| *from == state) {
                if reached.insert(*to) {
                    open.push(*to);
                }
            }
        }
        reached
    }
}

fn name<T: Name>(text: &str) -> Option<T> {
    T::from_str(text).ok()
}

fn state<S: Name>(text: &str) -> Result<S, Error> {
    name(text).ok_or_else(|| Error::state(text))
}
