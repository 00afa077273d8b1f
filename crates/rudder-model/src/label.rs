//! Labels on objects and the matches that selectors make on them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Labels of one object, by name.
pub type Labels = BTreeMap<String, String>;

/// The built-in label that holds an object's own name.
pub const NAME_LABEL: &str = "name";

/// A match on labels: each listed label must hold one of the listed values. Empty matches all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Match(pub BTreeMap<String, Vec<String>>);

impl Match {
    /// True when an object called `name` that carries `labels` is meant.
    pub fn accepts(&self, name: &str, labels: &Labels) -> bool {
        for (label, values) in &self.0 {
            let held = if label == NAME_LABEL { Some(name) } else { labels.get(label).map(String::as_str) };
            let Some(held) = held else { return false };
            if !values.iter().any(|value| value == held) {
                return false;
            }
        }
        true
    }
}
