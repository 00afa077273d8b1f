//! `get`, `apply`, `label`, `mark` and `evacuate`.

use std::{collections::BTreeMap, path::Path};

use pico_args::Arguments;
use rudder_client::Operator;
use rudder_model::{Class, Endpoint, Instance, Kind, Labels, Mark, Object, Organisation, Selector};
use serde::Deserialize;

use super::{Error, to_words};

/// Variable that may hold the operators' key.
const KEY_VARIABLE: &str = "HATCHRUDDER_KEY";

/// Objects of an `apply` file.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Objects {
    class: BTreeMap<String, Class>,
    endpoint: BTreeMap<String, Endpoint>,
    organisation: BTreeMap<String, Organisation>,
    selector: BTreeMap<String, Selector>,
    instance: BTreeMap<String, Instance>,
}

impl Objects {
    /// All objects, kind by kind.
    fn into_list(self) -> Vec<(String, Object)> {
        let classes = self.class.into_iter().map(|(name, class)| (name, Object::Class(class)));
        let endpoints = self.endpoint.into_iter().map(|(name, endpoint)| (name, Object::Endpoint(endpoint)));
        let orgs = self.organisation.into_iter().map(|(name, org)| (name, Object::Organisation(org)));
        let selectors = self.selector.into_iter().map(|(name, selector)| (name, Object::Selector(selector)));
        let instances = self.instance.into_iter().map(|(name, instance)| (name, Object::Instance(instance)));
        classes.chain(endpoints).chain(orgs).chain(selectors).chain(instances).collect()
    }
}

fn operator(arguments: &mut Arguments) -> Result<Operator, Error> {
    let entry: String = arguments.value_from_str("--entry")?;
    let given: Option<String> = arguments.opt_value_from_str("--key")?;
    let key = given.or_else(|| std::env::var(KEY_VARIABLE).ok());
    let key = key.ok_or_else(|| Error::Usage(format!("give the operators' key with --key or in {KEY_VARIABLE}")))?;
    Ok(Operator::new(&entry, &key))
}

fn to_kind(word: &str) -> Result<Kind, Error> {
    let words: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    Kind::from_word(word)
        .ok_or_else(|| Error::Usage(format!("there is no kind {word}; there are {}", words.join(", "))))
}

/// Shows objects or the status.
pub(super) fn get(mut arguments: Arguments) -> Result<bool, Error> {
    let operator = operator(&mut arguments)?;
    let words = to_words(arguments)?;
    let path = match words.as_slice() {
        [word] if word == "status" => word.clone(),
        [kind] => to_kind(kind)?.as_str().to_owned(),
        [kind, name] => format!("{}/{name}", to_kind(kind)?.as_str()),
        _ => return Err(Error::Usage("get needs KIND and perhaps NAME".to_owned())),
    };
    let (status, body) = operator.get(&path)?;
    println!("{body:#}");
    Ok(status == 200)
}

/// Puts the objects of a file in force.
pub(super) fn apply(mut arguments: Arguments) -> Result<bool, Error> {
    let operator = operator(&mut arguments)?;
    let words = to_words(arguments)?;
    let [file] = words.as_slice() else { return Err(Error::Usage("apply needs one FILE".to_owned())) };
    let objects: Objects =
        rudder_settings::read_toml(Path::new(file)).map_err(|error| Error::Usage(error.to_string()))?;
    // Nothing is sent before everything has been looked at.
    let objects = objects.into_list();
    for (name, object) in &objects {
        if let Some(fault) = object.fault() {
            return Err(Error::Usage(format!("{file}: {}.{name}: {fault}", object.kind().as_str())));
        }
    }
    for (name, object) in objects {
        let kind = object.kind();
        if operator.object(kind, &name)?.is_some_and(|held| held.object.as_ref() == Some(&object)) {
            println!("{} {name}: unchanged", kind.as_str());
            continue;
        }
        if !show(kind, &name, &operator.put_over(&name, object)?) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Sets labels.
pub(super) fn label(mut arguments: Arguments) -> Result<bool, Error> {
    let operator = operator(&mut arguments)?;
    let words = to_words(arguments)?;
    let [kind, name, pairs @ ..] = words.as_slice() else {
        return Err(Error::Usage("label needs KIND NAME LABEL=VALUE...".to_owned()));
    };
    let kind = to_kind(kind)?;
    let mut labels = Labels::new();
    for pair in pairs {
        let (label, value) = pair.split_once('=').ok_or_else(|| Error::Usage(format!("{pair} is not LABEL=VALUE")))?;
        labels.insert(label.to_owned(), value.to_owned());
    }
    if labels.is_empty() {
        return Err(Error::Usage("label needs at least one LABEL=VALUE".to_owned()));
    }
    let changed = operator.label(kind, name, &labels)?;
    Ok(show(kind, name, &changed))
}

/// Marks an endpoint or instance.
pub(super) fn mark(mut arguments: Arguments) -> Result<bool, Error> {
    let operator = operator(&mut arguments)?;
    let words = to_words(arguments)?;
    let [kind, name, mark] = words.as_slice() else {
        return Err(Error::Usage("mark needs KIND NAME leaving|stopping|none".to_owned()));
    };
    let kind = to_kind(kind)?;
    let mark = match mark.as_str() {
        "leaving" => Mark::Leaving,
        "stopping" => Mark::Stopping,
        "none" => Mark::None,
        word => return Err(Error::Usage(format!("{word} is not leaving, stopping or none"))),
    };
    let changed = operator.mark(kind, name, mark)?;
    Ok(show(kind, name, &changed))
}

/// Evacuates a hall, or takes that back.
pub(super) fn evacuate(mut arguments: Arguments) -> Result<bool, Error> {
    let operator = operator(&mut arguments)?;
    let words = to_words(arguments)?;
    let [hall, step] = words.as_slice() else {
        return Err(Error::Usage("evacuate needs HALL begin|end".to_owned()));
    };
    let begins = match step.as_str() {
        "begin" => true,
        "end" => false,
        word => return Err(Error::Usage(format!("{word} is not begin or end"))),
    };
    operator.evacuate(hall, begins)?;
    println!("hall {hall}: {}", if begins { "gets no new work" } else { "gets work again" });
    Ok(true)
}

/// Prints a change's number, or why it was not accepted.
fn show(kind: Kind, name: &str, changed: &rudder_client::Changed) -> bool {
    use rudder_client::Changed;
    let object = format!("{} {name}", kind.as_str());
    match changed {
        Changed::Accepted { number, .. } => {
            println!("{object}: number {number}");
            return true;
        }
        Changed::Conflict { standing } => eprintln!(
            "{object}: another change came first; number {} stands: {}",
            standing.number,
            serde_json::to_string(&standing.object).unwrap_or_default()
        ),
        Changed::IdReused => eprintln!("{object}: the change id was used for another change"),
        Changed::Invalid { fault } => eprintln!("{object}: {fault}"),
    }
    false
}
