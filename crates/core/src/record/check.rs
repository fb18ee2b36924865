use {
    super::{Kind, Record, SCHEMA},
    derive_more::{Display, Error},
    serde::de::DeserializeOwned,
    serde_json::Value,
};

const DIGEST_DIGITS: usize = 64;
const LOWEST_PRIORITY: u8 = 9;

/// Why a record was refused. Each message says how to correct the record.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum RecordError {
    /// The `schema` field is missing, is no number or is 0.
    #[display("The record has no schema number; add \"schema\": {SCHEMA}.")]
    NoSchema,
    /// The record's schema is newer than the one that this build reads.
    #[display(
        "Schema {schema} is newer than {SCHEMA}; upgrade this instance or write schema {SCHEMA}."
    )]
    NewerSchema {
        /// Schema number of the record.
        schema: u64,
    },
    /// A field is missing, unknown or of the wrong type.
    #[display("The record does not fit its kind: {detail}; correct that field.")]
    Shape {
        /// Error message of the decoder.
        detail: String,
    },
    /// A field's value is out of range.
    #[display("Field {field} is out of range; give {remedy}.")]
    Range {
        /// Name of the field.
        field: &'static str,
        /// Accepted values.
        remedy: &'static str,
    },
}

/// Parses and validates a record of the given kind.
///
/// # Errors
///
/// Returns why the record was refused and how to correct it.
pub fn parse(kind: Kind, body: &Value) -> Result<Record, RecordError> {
    check_schema(body)?;
    match kind {
        Kind::Team => team(body),
        Kind::Key => key(body),
        Kind::Rate => rate(body),
        Kind::Model => model(body),
        Kind::Upstream => decode(body).map(Record::Upstream),
        Kind::Drain => decode(body).map(Record::Drain),
    }
}

fn check_schema(body: &Value) -> Result<(), RecordError> {
    let schema = body
        .get("schema")
        .and_then(Value::as_u64)
        .ok_or(RecordError::NoSchema)?;
    if schema == 0 {
        return Err(RecordError::NoSchema);
    }
    if schema > u64::from(SCHEMA) {
        return Err(RecordError::NewerSchema { schema });
    }
    Ok(())
}

fn decode<T: DeserializeOwned>(body: &Value) -> Result<T, RecordError> {
    T::deserialize(body).map_err(|e| RecordError::Shape {
        detail: e.to_string(),
    })
}

fn require(ok: bool, field: &'static str, remedy: &'static str) -> Result<(), RecordError> {
    if ok {
        return Ok(());
    }
    Err(RecordError::Range { field, remedy })
}

fn team(body: &Value) -> Result<Record, RecordError> {
    let team: super::Team = decode(body)?;
    require(
        team.priority <= LOWEST_PRIORITY,
        "priority",
        "a number from 0 to 9",
    )?;
    require(
        team.first_token_ms > 0,
        "first_token_ms",
        "a number of milliseconds above 0",
    )?;
    Ok(Record::Team(team))
}

fn key(body: &Value) -> Result<Record, RecordError> {
    let key: super::Key = decode(body)?;
    let hex = key
        .digest
        .bytes()
        .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b));
    require(
        hex && key.digest.len() == DIGEST_DIGITS,
        "digest",
        "the 64 lowercase hexadecimal digits that `mangowalk key issue` writes",
    )?;
    Ok(Record::Key(key))
}

fn rate(body: &Value) -> Result<Record, RecordError> {
    let rate: super::Rate = decode(body)?;
    require(
        rate.tokens_per_s > 0,
        "tokens_per_s",
        "a number of tokens above 0, or withdraw the team",
    )?;
    require(
        rate.burst_tokens > 0,
        "burst_tokens",
        "a number of tokens above 0",
    )?;
    Ok(Record::Rate(rate))
}

fn model(body: &Value) -> Result<Record, RecordError> {
    let model: super::Model = decode(body)?;
    require(!model.version.is_empty(), "version", "a weights version")?;
    require(
        model.concurrent_loads > 0,
        "concurrent_loads",
        "a number of engines above 0",
    )?;
    Ok(Record::Model(model))
}
