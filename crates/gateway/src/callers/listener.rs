use {
    super::serve::serve,
    crate::{
        instance::{Drain, Instance},
        upstreams::Pool,
    },
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, pin::pin, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Time that an idle connection is kept beyond the limit that callers know.
/// One that they use again in the last moment still finds it open.
const IDLE_MARGIN_MS: u64 = 1_000;

/// Pause after the system gave no connection; descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves callers until the instance closes.
pub async fn serve_callers(instance: Rc<Instance>, pool: Rc<Pool>, listener: TcpListener) {
    let mut drain = instance.drain.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = Drain::closing(&mut drain) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                spawn_local(connection(instance.clone(), pool.clone(), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn connection(instance: Rc<Instance>, pool: Rc<Pool>, stream: TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
        return;
    }
    let limits = instance.routes.borrow().configuration().limits;
    let mut drain = instance.drain.clone();
    let service = service_fn(|request| {
        let (instance, pool) = (instance.clone(), pool.clone());
        async move { Ok::<_, Infallible>(serve(instance, pool, request).await) }
    });
    let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
    let mut served = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(limits.max_header_bytes.max(8_192))
            .serve_connection(TokioIo::new(stream), service)
    );
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = Drain::closing(&mut drain) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(error) = ended {
        log::debug!("event=caller_connection_ended error=\"{error}\"");
    }
}
