//! Golden samples of every stored value, of every message on the wire, and of the settings file.
//!
//! Guards against format changes: the present code must read the values that the production version
//! stored, that version must be able to read what the present code writes, and every message must keep
//! its exact bytes. The sample files were written by the version that introduced this test and must not
//! be regenerated: a failing test means that the format has changed, not that a sample is out of date.
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
    /// Returns the bytes of the sample with this name; panics unless there is exactly one.
    fn named(&self, name: &str) -> &'static str {
        let has_name = |line: &&'static str| line.split_once(' ').is_some_and(|(n, _)| n == name);
        let found: Vec<&str> = self.0.lines().filter(has_name).collect();
        assert_eq!(found.len(), 1, "samples with the name {name}");
        found[0].split_once(' ').expect("a name and bytes").1
    }
}

/// Returns the body of a message.
fn as_sent(value: &impl Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

/// Returns the bytes of a stored value, which is converted to a JSON tree before it is sent.
fn as_stored(value: &impl Serialize) -> String {
    serde_json::to_value(value).expect("JSON").to_string()
}

/// Asserts that the value is serialized as the sample, and that the sample is unchanged by reading and writing it.
fn assert_message_format<T: Serialize + DeserializeOwned>(samples: &Samples, name: &str, value: &T) {
    let bytes = samples.named(name);
    assert_eq!(as_sent(value), bytes, "{name} as it is written");
    let read: T = serde_json::from_str(bytes).unwrap_or_else(|e| panic!("{name} cannot be read: {e}"));
    assert_eq!(as_sent(&read), bytes, "{name} as it is read and written again");
}
