use {
    std::{
        future, io,
        sync::{Mutex, PoisonError},
        thread,
    },
    tokio::runtime::{Builder, Handle},
};

/// Handle of the process's event loop, once it is started.
static STARTED: Mutex<Option<Handle>> = Mutex::new(None);

/// Returns the event loop that drives all connections of the process, on a thread of its own.
///
/// A loop for each call would need several more file descriptors for each open stream.
///
/// # Errors
///
/// Fails if it is not started yet and the process has no file descriptor or thread left.
pub(super) fn event_loop() -> io::Result<Handle> {
    let mut started = STARTED.lock().unwrap_or_else(PoisonError::into_inner);
    if let Some(handle) = &*started {
        return Ok(handle.clone());
    }
    let runtime = Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()?;
    let handle = runtime.handle().clone();
    thread::Builder::new()
        .name("http-client".to_owned())
        .spawn(move || runtime.block_on(future::pending::<()>()))?;
    *started = Some(handle.clone());
    Ok(handle)
}
