//! Golden samples of every stored value, of every message on the wire, and of the settings file.
//!
//! Guards against a change of form: what the production version stored must stay readable, what is
//! written now must stay readable to that version, and every message must keep its exact bytes. The
//! sample files were written once, by the version that introduced this test, and are never written
//! again: a test that fails here means that the form has changed, not that a sample is out of date.
//!
//! In a sample file each line is a name, a space, and the exact bytes (in hexadecimal for protobuf).

mod keys;
mod messages;
mod peer_messages;
mod reports;
mod settings;
mod stored;
mod stored_by_cells;

use serde::Serialize;
use serde::de::DeserializeOwned;

/// The lines of one sample file.
struct Samples(&'static str);

impl Samples {
    /// The bytes of the sample with this name, of which there must be exactly one.
    fn named(&self, name: &str) -> &'static str {
        let of_name = |line: &&'static str| line.split_once(' ').is_some_and(|(n, _)| n == name);
        let found: Vec<&str> = self.0.lines().filter(of_name).collect();
        assert_eq!(found.len(), 1, "samples with the name {name}");
        found[0].split_once(' ').expect("a name and bytes").1
    }
}

/// The bytes of a message's body.
fn as_sent(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

/// The bytes of a stored value, which passes through a JSON tree before it is sent.
fn as_stored(value: &impl Serialize) -> String {
    serde_json::to_value(value).expect("JSON").to_string()
}

/// The value is written as the sample, and the sample, once read, is written as it was.
fn sent_and_received<T: Serialize + DeserializeOwned>(samples: &Samples, name: &str, value: &T) {
    let bytes = samples.named(name);
    assert_eq!(as_sent(value), bytes, "{name} as it is written");
    let read: T = serde_json::from_str(bytes).unwrap_or_else(|e| panic!("{name} cannot be read: {e}"));
    assert_eq!(as_sent(&read), bytes, "{name} as it is read and written again");
}
