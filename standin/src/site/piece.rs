//! Pieces of stages, as stage engines are asked for them.

use serde_json::Value;
use std::collections::HashMap;

/// A piece of a stage of a request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Piece {
    /// Identifier of the request.
    pub request: String,
    /// Number of the stage.
    pub stage: u64,
    /// Number of the piece within the stage.
    pub number: u64,
}

/// A piece in a stage call, with its input.
#[derive(Clone, Debug)]
pub struct Item {
    /// The piece.
    pub piece: Piece,
    /// Key of the request's own input, if there is one.
    pub key: Option<String>,
    /// Pieces whose results it reads.
    pub inputs: Vec<Piece>,
}

impl Item {
    /// Parses an item of a stage call; `None` if it is malformed, or reads a result that is not `stored`.
    pub(super) fn parse(item: &Value, stored: &HashMap<String, Piece>) -> Option<Self> {
        let inputs = item["inputs"].as_array().into_iter().flatten();
        let inputs = inputs.map(|input| stored.get(input.as_str()?).cloned());
        Some(Self {
            piece: Piece {
                request: item["id"].as_str()?.to_owned(),
                stage: item["stage"].as_u64()?,
                number: item["piece"].as_u64()?,
            },
            key: item["key"].as_str().map(str::to_owned),
            inputs: inputs.collect::<Option<_>>()?,
        })
    }
}
