//! The operators' interface.

use std::time::Duration;

use eyre::{Context as _, Result, bail, eyre};
use rudder_ledger::{Change, Changed, Held, Number};
use rudder_model::{Kind, Labels, Mark, Object};
use serde::Deserialize;
use serde_json::Value;
use ureq::Agent;

/// An entry that does not answer within this time is given up.
const TIMEOUT: Duration = Duration::from_secs(8);
/// A change whose outcome is unknown is sent again this many times.
const TRIES: u32 = 5;

/// An operator's connection to one entry.
#[derive(Clone, Debug)]
pub struct Operator {
    agent: Agent,
    entry: String,
    key: String,
}

/// An object with its name.
#[derive(Clone, Debug, Deserialize)]
pub struct Shown {
    /// Its name.
    pub name: String,
    /// Its state.
    pub held: Held,
}

#[derive(Deserialize)]
struct Answered {
    answer: Changed,
}

#[derive(Deserialize)]
struct Listed {
    objects: Vec<Shown>,
}

impl Operator {
    /// A connection to the entry at `entry`, an address or an `http://` URL.
    pub fn new(entry: &str, key: &str) -> Operator {
        let config = Agent::config_builder().timeout_global(Some(TIMEOUT)).http_status_as_error(false).build();
        let entry = entry.trim_start_matches("http://").trim_end_matches('/').to_owned();
        Operator { agent: config.into(), entry, key: key.to_owned() }
    }

    /// Reads `path` of the operators' interface: the status and the JSON.
    ///
    /// # Errors
    /// When the entry cannot be reached or answers with something else.
    pub fn get(&self, path: &str) -> Result<(u16, Value)> {
        let url = format!("http://{}/admin/v1/{path}", self.entry);
        let request = self.agent.get(url).header("authorization", format!("Bearer {}", self.key));
        let mut answer = request.call().wrap_err_with(|| format!("ask {}", self.entry))?;
        let status = answer.status().as_u16();
        let body = answer.body_mut().read_json().wrap_err_with(|| format!("read the answer of {}", self.entry))?;
        Ok((status, body))
    }

    /// One object; `None` where nothing has this name.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses.
    pub fn object(&self, kind: Kind, name: &str) -> Result<Option<Held>> {
        let (status, body) = self.get(&format!("{}/{name}", kind.as_str()))?;
        if status == 404 {
            return Ok(None);
        }
        let mut listed: Listed = self.read(status, body)?;
        Ok(listed.objects.pop().map(|shown| shown.held))
    }

    /// All objects of a kind.
    ///
    /// # Errors
    /// When the entry cannot be reached or refuses.
    pub fn objects(&self, kind: Kind) -> Result<Vec<Shown>> {
        let (status, body) = self.get(kind.as_str())?;
        self.read::<Listed>(status, body).map(|listed| listed.objects)
    }

    /// Sends a change, again under the same id while its outcome is unknown.
    ///
    /// # Errors
    /// When no answer could be had, or the entry refuses.
    pub fn change(&self, change: &Change) -> Result<Changed> {
        let url = format!("http://{}/admin/v1/changes", self.entry);
        let mut last = eyre!("not tried");
        for _ in 0..TRIES {
            let request = self.agent.post(&url).header("authorization", format!("Bearer {}", self.key));
            let mut answer = match request.send_json(change) {
                Ok(answer) => answer,
                Err(error) => {
                    last = eyre!("send the change to {}: {error}", self.entry);
                    continue;
                }
            };
            let status = answer.status().as_u16();
            let body: Value = answer.body_mut().read_json().wrap_err("read the answer")?;
            if status == 503 {
                last = eyre!("{}: {body}", self.entry);
                continue;
            }
            if body.get("answer").is_none() {
                bail!("{}: {status}: {body}", self.entry);
            }
            return Ok(serde_json::from_value::<Answered>(body)?.answer);
        }
        Err(last)
    }

    /// Evacuates a hall, so that its endpoints get no new work, or takes that back; sent again while the outcome is unknown.
    ///
    /// # Errors
    /// When no answer could be had, or the entry refuses.
    pub fn evacuate(&self, hall: &str, begins: bool) -> Result<()> {
        let url = format!("http://{}/admin/v1/evacuations/{hall}", self.entry);
        let bearer = format!("Bearer {}", self.key);
        let mut last = eyre!("not tried");
        for _ in 0..TRIES {
            let sent = if begins {
                self.agent.post(&url).header("authorization", &bearer).send_empty()
            } else {
                self.agent.delete(&url).header("authorization", &bearer).call()
            };
            let mut answer = match sent {
                Ok(answer) => answer,
                Err(error) => {
                    last = eyre!("send the order to {}: {error}", self.entry);
                    continue;
                }
            };
            let status = answer.status().as_u16();
            if status == 200 {
                return Ok(());
            }
            let body: Value = answer.body_mut().read_json().wrap_err("read the answer")?;
            if status != 503 {
                bail!("{}: {status}: {body}", self.entry);
            }
            last = eyre!("{}: {body}", self.entry);
        }
        Err(last)
    }

    /// Puts an object in place of the one with number `replaces`.
    ///
    /// # Errors
    /// As [`Operator::change`].
    pub fn put(&self, name: &str, replaces: Number, object: Object) -> Result<Changed> {
        let id = format!("{:032x}", rand::random::<u128>());
        let change = Change { id, kind: object.kind(), name: name.to_owned(), replaces, object: Some(object) };
        self.change(&change)
    }

    /// Puts an object in place of whatever stands.
    ///
    /// # Errors
    /// As [`Operator::change`].
    pub fn put_over(&self, name: &str, object: Object) -> Result<Changed> {
        let standing = self.object(object.kind(), name)?;
        self.put(name, standing.map_or(0, |held| held.number), object)
    }

    /// Sets labels of an object; an empty value takes the label off.
    ///
    /// # Errors
    /// When the object is not there or carries no labels, or as [`Operator::change`].
    pub fn label(&self, kind: Kind, name: &str, labels: &Labels) -> Result<Changed> {
        self.edit(kind, name, |object| {
            let held = object.labels_mut().ok_or_else(|| eyre!("a {} carries no labels", kind.as_str()))?;
            for (label, value) in labels {
                if value.is_empty() {
                    held.remove(label);
                } else {
                    held.insert(label.clone(), value.clone());
                }
            }
            Ok(())
        })
    }

    /// Marks an endpoint or instance.
    ///
    /// # Errors
    /// When the object cannot be marked, or as [`Operator::change`].
    pub fn mark(&self, kind: Kind, name: &str, mark: Mark) -> Result<Changed> {
        if kind == Kind::Instance && self.object(kind, name)?.is_none() {
            let instance = rudder_model::Instance { mark, ..Default::default() };
            return self.put(name, 0, Object::Instance(instance));
        }
        self.edit(kind, name, |object| {
            *object.mark_mut().ok_or_else(|| eyre!("a {} cannot be marked", kind.as_str()))? = mark;
            Ok(())
        })
    }

    fn edit(&self, kind: Kind, name: &str, change: impl FnOnce(&mut Object) -> Result<()>) -> Result<Changed> {
        let held = self.object(kind, name)?.ok_or_else(|| eyre!("there is no {} {name}", kind.as_str()))?;
        let mut object = held.object.ok_or_else(|| eyre!("{} {name} was deleted", kind.as_str()))?;
        change(&mut object)?;
        self.put(name, held.number, object)
    }

    fn read<T: for<'de> Deserialize<'de>>(&self, status: u16, body: Value) -> Result<T> {
        if status != 200 {
            bail!("{}: {status}: {body}", self.entry);
        }
        Ok(serde_json::from_value(body)?)
    }
}
