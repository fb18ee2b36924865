use tokio::sync::Notify;

/// Notifications between the tasks of an instance.
#[derive(Debug, Default)]
pub struct WakeUps {
    /// Sent when a peer has a newer configuration than this instance.
    pub configuration: Notify,
    /// Sent when newer weights were published, the engine list changed, or an
    /// engine's answer to a report call or an order arrived.
    pub orders: Notify,
    /// Sent when an engine was found to be silent.
    pub silent_engine: Notify,
    /// Sent when a heartbeat should be sent at once.
    pub heartbeat: Notify,
    /// Sent when the engine list has changed, so that a build may have appeared.
    pub builds: Notify,
    /// Sent when heartbeats were gathered to be passed on to the own group.
    pub bundle: Notify,
    /// Sent when the path to the engines of a service was lost or is back, or an engine
    /// was found to be silent.
    pub path: Notify,
    /// Sent when peers are to be told of parts of prompts that may crash engines.
    pub part_messages: Notify,
    /// Sent when a part of prompts was rejected, or may be used again.
    pub rejected_parts: Notify,
    /// Sent when the rejected parts are to be written to the store.
    pub kept_parts: Notify,
    /// Sent when peers are to be told a limit that an engine has named.
    pub limits: Notify,
    /// Sent when peers are to be told of an engine that leaves.
    pub leaving_engines: Notify,
    /// Sent when peers are to be told of an engine at whose address another one listens.
    pub replaced_engines: Notify,
    /// Sent when peers are to be told the pace of an engine.
    pub engine_paces: Notify,
    /// Sent when the store has answered with current state.
    pub confirmation: Notify,
    /// Sent to the requests that wait when another configuration is in force.
    pub routes: Notify,
}
