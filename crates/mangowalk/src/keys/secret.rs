use {
    rand::{TryRngCore, rand_core::OsError, rngs::OsRng},
    std::fmt::Write,
};

/// Random bits of a key, in bytes: 256 bits can't be guessed.
const SECRET_BYTES: usize = 32;

/// Start of every key, so that one left in a file is recognised.
const PREFIX: &str = "mw-";

/// Draws a new key from the operating system's generator.
pub(super) fn generate() -> Result<String, OsError> {
    let mut bytes = [0; SECRET_BYTES];
    OsRng.try_fill_bytes(&mut bytes)?;
    let mut key = PREFIX.to_owned();
    for byte in bytes {
        let _ = write!(key, "{byte:02x}");
    }
    Ok(key)
}
