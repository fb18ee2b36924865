use {
    super::Heartbeat,
    crate::{
        canary::CanaryMessage, capacity::PaceReport, confirmation::ConfirmationReport,
        crash_part::PartMessage, engine_limit::EngineLimitReport, engine_notice::LeavingReport,
        kv_store::KvStoreReport, path::PathReport, pool::ReplacedEngine,
    },
    derive_more::{Display, Error, From},
    serde::{Deserialize, Serialize},
};

/// Version of the exchange between instances that this build understands. It follows
/// each message as one byte; builds before version 1 send none and ignore it.
///
/// Version 1 adds [`PeerMessage::KvStore`], [`PeerMessage::DirectPacked`],
/// [`PeerMessage::PackToRelay`] and [`PeerMessage::RelayedPack`], and heartbeats that
/// leave out teams whose spending hasn't changed. Version 2 adds
/// [`PeerMessage::Canary`], [`PeerMessage::CanaryToRelay`] and
/// [`PeerMessage::Compressed`]. Version 3 adds [`PeerMessage::PackToGroup`]. Version 4
/// adds [`PeerMessage::Path`]; instances from it on take requests of their peers. From
/// version 5 on they tell and ask each other where streams began, on a port of their own,
/// and keep streams that are passed on at their software version. From version 6 on they
/// lend each other retries, on a port of their own. Version 7 adds
/// [`PeerMessage::EngineLimits`], version 8 [`PeerMessage::Part`] and
/// [`PeerMessage::PartToRelay`], version 9 [`PeerMessage::LeavingEngines`] and
/// [`PeerMessage::LeavingEnginesToRelay`], and version 10 [`PeerMessage::EnginePaces`],
/// [`PeerMessage::EnginePacesToRelay`], [`PeerMessage::ReplacedEngines`] and
/// [`PeerMessage::ReplacedEnginesToRelay`]. From version 11 on instances read the builds that
/// are kept in the store for each other. Version 12 adds [`PeerMessage::Confirmation`] and
/// [`PeerMessage::ConfirmationToRelay`].
pub const EXCHANGE_VERSION: u8 = 12;

/// Version of the exchange from which on packs, reports on KV cache stores and partial
/// reports on teams are understood.
pub const PACKS_VERSION: u8 = 1;

/// Version of the exchange from which on messages about roll-outs are understood.
pub const CANARY_VERSION: u8 = 2;

/// Version of the exchange from which on compressed messages are understood.
pub const COMPRESSION_VERSION: u8 = 2;

/// Version of the exchange from which on packs are passed on by groups.
pub const GROUPS_VERSION: u8 = 3;

/// Version of the exchange from which on instances report their path to the engines and
/// take requests of their peers.
pub const PASSING_VERSION: u8 = 4;

/// Version of the exchange from which on instances know where streams began.
pub const ORIGINS_VERSION: u8 = 5;

/// Version of the exchange from which on instances lend each other retries.
pub const LOANS_VERSION: u8 = 6;

/// Version of the exchange from which on instances tell each other the limits that engines
/// name.
pub const LIMITS_VERSION: u8 = 7;

/// Version of the exchange from which on instances tell each other of parts of prompts that
/// crash engines.
pub const PARTS_VERSION: u8 = 8;

/// Version of the exchange from which on instances tell each other of engines that leave.
pub const LEAVING_VERSION: u8 = 9;

/// Version of the exchange from which on instances tell each other of the pace of engines and
/// of engines that were replaced.
pub const CAPACITY_VERSION: u8 = 10;

/// Version of the exchange from which on instances read for each other which builds are kept
/// in the store.
pub const READINGS_VERSION: u8 = 11;

/// Version of the exchange from which on instances tell each other when the store has
/// answered them with current state.
pub const CONFIRMATIONS_VERSION: u8 = 12;

/// Maximum size of a message before its compression: twice a datagram. The size that a
/// datagram names is not trusted beyond it.
const MAX_MESSAGE_BYTES: usize = 2 * MAX_DATAGRAM_BYTES;

/// Maximum size of a datagram between instances, which is that of UDP over IPv4.
pub const MAX_DATAGRAM_BYTES: usize = 65_507;

/// Size of the heartbeats in a pack from which on the pack is sent and another begun.
/// A relay sends each pack to all peers of its failure domain at once.
pub const PACK_BYTES: usize = 12 * 1024;

/// Size of the heartbeats that an instance passes on to its group in one datagram. They
/// are those of many packs, and the group is small.
pub const BUNDLE_BYTES: usize = 40 * 1024;

/// Content of one datagram between instances.
///
/// Instances of an earlier build know the first three variants only and ignore a
/// datagram that they can't decode.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A heartbeat from its author to this receiver only.
    Direct(Box<Heartbeat>),
    /// A heartbeat from its author to a receiver that relays it within its failure
    /// domain.
    ToRelay(Box<Heartbeat>),
    /// A heartbeat that another instance of the receiver's failure domain relays.
    Relayed(Box<Heartbeat>),
    /// A report on a KV cache store.
    KvStore(KvStoreReport),
    /// A heartbeat like [`PeerMessage::Direct`], whose author has also sent a pack of
    /// the heartbeats of its group.
    DirectPacked(Box<Heartbeat>),
    /// Heartbeats of several instances of another failure domain, to a receiver that
    /// relays them within its own.
    PackToRelay(Vec<Heartbeat>),
    /// Heartbeats that another instance of the receiver's failure domain relays.
    RelayedPack(Vec<Heartbeat>),
    /// A message about a roll-out of a service's software.
    Canary(Box<CanaryMessage>),
    /// The same, to a receiver that relays it within its failure domain.
    CanaryToRelay(Box<CanaryMessage>),
    /// Another message, compressed, behind its size. The heartbeats of a pack name the
    /// same teams, models and failure domains.
    Compressed(Vec<u8>),
    /// Heartbeats to a receiver that passes them on to the instances of its group,
    /// together with others.
    PackToGroup(Vec<Heartbeat>),
    /// From which services the author is cut off.
    Path(Box<PathReport>),
    /// Limits that engines name on the requests of all instances.
    EngineLimits(Vec<EngineLimitReport>),
    /// A message about parts of prompts that may crash engines.
    Part(Box<PartMessage>),
    /// The same, to a receiver that relays it within its failure domain.
    PartToRelay(Box<PartMessage>),
    /// Engines that have told the author that they leave.
    LeavingEngines(Vec<LeavingReport>),
    /// The same, to a receiver that relays it within its failure domain.
    LeavingEnginesToRelay(Vec<LeavingReport>),
    /// Engines that work slower or faster than the receivers were told.
    EnginePaces(Vec<PaceReport>),
    /// The same, to a receiver that relays it within its failure domain.
    EnginePacesToRelay(Vec<PaceReport>),
    /// Engines at whose addresses others listen.
    ReplacedEngines(Vec<ReplacedEngine>),
    /// The same, to a receiver that relays it within its failure domain.
    ReplacedEnginesToRelay(Vec<ReplacedEngine>),
    /// When the author is known to have had the store's current state.
    Confirmation(ConfirmationReport),
    /// The same, to a receiver that relays it within its failure domain.
    ConfirmationToRelay(ConfirmationReport),
}

/// Why a datagram could not be decoded or a message not be encoded.
#[derive(Debug, Display, Error, From)]
pub enum MessageError {
    /// A value can't be encoded or decoded.
    #[display("The message between instances is malformed: {_0}.")]
    Encoding(postcard::Error),
    /// The bytes can't be decompressed.
    #[display("The compressed message between instances is malformed: {_0}.")]
    Compression(lz4_flex::block::DecompressError),
    /// The size of a compressed message is missing or too large, or it holds another
    /// compressed one.
    #[display("The compressed message between instances is too large or nested.")]
    #[from(skip)]
    Nested,
}

impl PeerMessage {
    /// Returns the kind of the message, by which its bytes are counted.
    pub fn kind(&self) -> &'static str {
        match self {
            PeerMessage::Direct(_) | PeerMessage::DirectPacked(_) => "heartbeat",
            PeerMessage::ToRelay(_) => "heartbeat_to_relay",
            PeerMessage::Relayed(_) => "relayed_heartbeat",
            PeerMessage::PackToRelay(_) => "pack_to_relay",
            PeerMessage::RelayedPack(_) => "relayed_pack",
            PeerMessage::PackToGroup(_) => "pack_to_group",
            PeerMessage::KvStore(_) => "kv_store",
            PeerMessage::Canary(_) | PeerMessage::CanaryToRelay(_) => "canary",
            PeerMessage::Path(_) => "path",
            PeerMessage::EngineLimits(_) => "engine_limits",
            PeerMessage::Part(_) | PeerMessage::PartToRelay(_) => "part",
            PeerMessage::LeavingEngines(_) | PeerMessage::LeavingEnginesToRelay(_) => {
                "leaving_engines"
            }
            PeerMessage::EnginePaces(_) | PeerMessage::EnginePacesToRelay(_) => "engine_paces",
            PeerMessage::ReplacedEngines(_) | PeerMessage::ReplacedEnginesToRelay(_) => {
                "replaced_engines"
            }
            PeerMessage::Confirmation(_) | PeerMessage::ConfirmationToRelay(_) => "confirmation",
            PeerMessage::Compressed(_) => "compressed",
        }
    }

    /// Returns the message in compressed form.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn compress(&self) -> Result<PeerMessage, MessageError> {
        let bytes = postcard::to_allocvec(self)?;
        let compressed = lz4_flex::compress_prepend_size(&bytes);
        Ok(PeerMessage::Compressed(compressed))
    }

    fn decompress(bytes: &[u8]) -> Result<PeerMessage, MessageError> {
        let (length, compressed) = lz4_flex::block::uncompressed_size(bytes)?;
        if length > MAX_MESSAGE_BYTES {
            return Err(MessageError::Nested);
        }
        let bytes = lz4_flex::decompress(compressed, length)?;
        match postcard::from_bytes(&bytes)? {
            PeerMessage::Compressed(_) => Err(MessageError::Nested),
            message => Ok(message),
        }
    }

    /// Encodes the message, followed by the exchange version of the author of its
    /// heartbeat.
    ///
    /// # Errors
    ///
    /// Fails if a value can't be encoded.
    pub fn encode(&self, exchange_version: u8) -> Result<Vec<u8>, MessageError> {
        let mut bytes = postcard::to_allocvec(self)?;
        bytes.push(exchange_version);
        Ok(bytes)
    }

    /// Decodes a datagram into the message and the exchange version of its author; 0
    /// for one of an earlier build.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no message that this build knows.
    pub fn decode(bytes: &[u8]) -> Result<(PeerMessage, u8), MessageError> {
        let (message, rest) = postcard::take_from_bytes(bytes)?;
        let message = match message {
            PeerMessage::Compressed(bytes) => PeerMessage::decompress(&bytes)?,
            message => message,
        };
        Ok((message, rest.first().copied().unwrap_or(0)))
    }
}

/// Splits heartbeats into packs of at most `max_bytes` each; a heartbeat that is
/// larger makes a pack of its own.
pub fn split_packs(
    heartbeats: impl IntoIterator<Item = Heartbeat>,
    max_bytes: usize,
) -> Vec<Vec<Heartbeat>> {
    let mut packs: Vec<Vec<Heartbeat>> = Vec::new();
    let mut pack_bytes = 0;
    for heartbeat in heartbeats {
        let bytes = postcard::experimental::serialized_size(&heartbeat).unwrap_or(max_bytes);
        match packs.last_mut() {
            Some(pack) if pack_bytes + bytes <= max_bytes => {
                pack_bytes += bytes;
                pack.push(heartbeat);
            }
            _ => {
                pack_bytes = bytes;
                packs.push(vec![heartbeat]);
            }
        }
    }
    packs
}
