use {
    super::{Change, ListReply, Object, ObjectKey, WatchReply},
    crate::json::{Fields, items},
    serde::de::DeserializeOwned,
    serde_json::Value,
};

/// Decodes a field that must be there and be readable.
fn required<T: DeserializeOwned>(fields: &Fields<'_>, name: &str) -> Option<T> {
    serde_json::from_slice(fields.get(name).ok()??).ok()
}

fn decode_key(fields: &Fields<'_>) -> Option<(ObjectKey, u64)> {
    let key = ObjectKey {
        kind: required(fields, "kind")?,
        name: required(fields, "name")?,
    };
    Some((key, required(fields, "version")?))
}

/// Decodes an object whose identity can be read. A body that can't be read is null, which no
/// kind accepts.
fn decode_object(object: &[u8]) -> Option<Object> {
    let fields = Fields::split(object)?;
    let (key, version) = decode_key(&fields)?;
    Some(Object {
        key,
        version,
        body: required(&fields, "body").unwrap_or(Value::Null),
    })
}

fn decode_change(change: &[u8]) -> Option<Change> {
    let fields = Fields::split(change)?;
    if let Some(object) = fields.get("put").ok()? {
        return decode_object(object).map(Change::Put);
    }
    let deleted = Fields::split(fields.get("delete").ok()??)?;
    let (key, version) = decode_key(&deleted)?;
    Some(Change::Delete { key, version })
}

impl ListReply {
    /// Decodes the answer to a list, each object by itself: one that can't be read hides no
    /// other. Returns `None` if the bytes are no such answer.
    pub fn decode(body: &[u8]) -> Option<ListReply> {
        let fields = Fields::split(body)?;
        let objects = items(fields.get("objects").ok()??)?;
        Some(ListReply {
            revision: required(&fields, "revision")?,
            objects: objects.into_iter().filter_map(decode_object).collect(),
        })
    }
}

impl WatchReply {
    /// Decodes the answer to a watch, each change by itself. Returns `None` if the bytes are no
    /// such answer.
    pub fn decode(body: &[u8]) -> Option<WatchReply> {
        let fields = Fields::split(body)?;
        let changes = items(fields.get("changes").ok()??)?;
        let is_compacted = fields.get("compacted").ok()?.is_some();
        Some(WatchReply {
            revision: required(&fields, "revision")?,
            changes: changes.into_iter().filter_map(decode_change).collect(),
            compacted: match is_compacted {
                true => required(&fields, "compacted")?,
                false => false,
            },
        })
    }
}
