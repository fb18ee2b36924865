use {
    serde::Serialize,
    serde_json::Value,
    std::collections::{BTreeMap, BTreeSet},
};

/// A field that a write changes.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(crate) struct FieldChange {
    /// Path of the field, with dots between its parts.
    pub(crate) field: String,
    /// Value before the write, `None` if the field is new.
    pub(crate) before: Option<Value>,
    /// Value after the write, `None` if the field is removed.
    pub(crate) after: Option<Value>,
}

impl FieldChange {
    /// Returns the change as a line of text.
    pub(crate) fn text(&self) -> String {
        let show = |v: &Option<Value>| v.as_ref().map_or("none".to_owned(), Value::to_string);
        format!(
            "{}: {} -> {}",
            self.field,
            show(&self.before),
            show(&self.after)
        )
    }
}

/// Returns the fields in which two records differ.
pub(super) fn changed_fields(before: &Value, after: &Value) -> Vec<FieldChange> {
    let (before, after) = (flatten(before), flatten(after));
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    names
        .into_iter()
        .filter(|name| before.get(*name) != after.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            before: before.get(name).cloned(),
            after: after.get(name).cloned(),
        })
        .collect()
}

/// Returns the values of a record by their paths. Only objects are split up.
fn flatten(value: &Value) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    flatten_into("", value, &mut fields);
    fields
}

fn flatten_into(path: &str, value: &Value, fields: &mut BTreeMap<String, Value>) {
    let Value::Object(object) = value else {
        fields.insert(path.to_owned(), value.clone());
        return;
    };
    for (name, value) in object {
        let path = if path.is_empty() {
            name.clone()
        } else {
            format!("{path}.{name}")
        };
        flatten_into(&path, value, fields);
    }
}
