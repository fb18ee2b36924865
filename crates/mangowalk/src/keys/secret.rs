use {
    rand::{TryRngCore, rand_core::OsError, rngs::OsRng},
    std::fmt::Write,
};

/// Length of the random part of a key, in bytes: 256 bits can't be guessed.
const SECRET_BYTES: usize = 32;

/// Prefix of every key, by which a key left in a file is recognised.
const PREFIX: &str = "mw-";

/// Generates a key with the operating system's random generator.
///
/// # Errors
///
/// Fails if the random generator does.
pub(super) fn generate() -> Result<String, OsError> {
    let mut bytes = [0; SECRET_BYTES];
    OsRng.try_fill_bytes(&mut bytes)?;
    let mut key = PREFIX.to_owned();
    for byte in bytes {
        let _ = write!(key, "{byte:02x}");
    }
    Ok(key)
}
