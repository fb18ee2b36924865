//! What instances tell and ask each other of where streams began.

use {
    super::{Direction, readings},
    crate::{
        clock::now_ms,
        instance::{Instance, OpenQuestion},
    },
    mangowalk_core::{
        mesh::{Member, ORIGINS_VERSION},
        origin::{
            EngineBuild, Ground, OriginAnswer, OriginMessage, OriginQuestion, StreamKey, Verdict,
            owners,
        },
    },
    std::{
        collections::BTreeSet,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{
        net::UdpSocket,
        task::spawn_local,
        time::{Instant, timeout_at},
    },
};

/// Maximum size of a datagram: names of services are short.
const MAX_MESSAGE_BYTES: usize = 1_024;

/// How often a question is sent.
const MAX_QUESTIONS: u32 = 2;

/// Receives what peers tell, ask and answer; never returns.
pub async fn exchange_origins(instance: Rc<Instance>, socket: Rc<UdpSocket>) {
    instance.origins.use_socket(socket.clone());
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        // The socket also reports here that nothing listens at a peer's port.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let traffic = &instance.mesh_traffic;
        traffic.count(Direction::Received, "origin", length);
        if !instance.is_peer_address(from.ip()) {
            log::debug!("event=origin_refused from={from} reason=unknown_peer");
            continue;
        }
        match OriginMessage::decode(&buffer[..length]) {
            Ok(message) => handle(&instance, message, from, now_ms()),
            Err(error) => log::warn!("event=origin_refused from={from} error=\"{error}\""),
        }
    }
}

fn handle(instance: &Rc<Instance>, message: OriginMessage, from: SocketAddr, now_ms: u64) {
    let origins = &instance.origins;
    match message {
        OriginMessage::Began { key, build } => {
            origins.record(key, build, &instance.settings.origins, now_ms);
        }
        OriginMessage::Question(question) => {
            let answer = instance.answer_origin(&question, now_ms);
            send(instance, &OriginMessage::Answer(answer), &[from]);
        }
        OriginMessage::Answer(answer) => {
            origins.open_questions.receive(answer.number, from, answer);
        }
        OriginMessage::ReadingQuestion(question) => {
            spawn_local(readings::answer(instance.clone(), question, from));
        }
        OriginMessage::ReadingAnswer(answer) => {
            origins.open_readings.receive(answer.number, from, answer);
        }
    }
}

/// Records where a stream began, and tells the peers that keep the record. It doesn't
/// wait for them: one that isn't told costs a copy, and the first event isn't held up.
pub fn tell_origin(instance: &Instance, key: StreamKey, build: EngineBuild, now_ms: u64) {
    let settings = &instance.settings.origins;
    instance.origins.record(key, build, settings, now_ms);
    let peers = owner_addresses(instance, key, settings.told_peers, now_ms);
    send(instance, &OriginMessage::Began { key, build }, &peers);
}

/// What this instance and its peers know of where a stream began.
#[derive(Debug)]
pub struct FoundOrigin {
    /// The build at which it may go on; `None` if it isn't known.
    pub build: Option<EngineBuild>,
    /// The ground of it.
    pub ground: Ground,
    /// Number of peers that were asked.
    pub asked: usize,
    /// Number of these that answered.
    pub answered: usize,
}

/// Returns what this instance and its peers know of where a stream began.
///
/// `service` is the one that may have begun the stream; empty if there are several.
pub async fn find_origin(
    instance: &Instance,
    key: Option<StreamKey>,
    service: &str,
) -> FoundOrigin {
    let mut question = OriginQuestion {
        number: 0,
        key,
        service: service.to_owned(),
    };
    let mut verdict = Verdict::default();
    let (mut asked, mut answered) = (0, 0);
    verdict.add_own(&instance.answer_origin(&question, now_ms()));
    if let Some(key) = key.filter(|_| !verdict.is_recorded()) {
        let asked_peers = instance.settings.origins.asked_peers;
        let peers = owner_addresses(instance, key, asked_peers, now_ms());
        asked += peers.len();
        answered += ask(instance, &mut question, peers, &mut verdict).await;
    }
    if verdict.needs_reading() && !service.is_empty() {
        readings::add(instance, service, &mut verdict).await;
    }
    FoundOrigin {
        build: verdict.build(),
        ground: verdict.ground(),
        asked,
        answered,
    }
}

/// Asks peers, and returns once a record is found, all have answered or the time is up.
/// Returns how many have answered.
async fn ask(
    instance: &Instance,
    question: &mut OriginQuestion,
    peers: Vec<SocketAddr>,
    verdict: &mut Verdict,
) -> usize {
    let settings = &instance.settings.origins;
    let asked = peers.len();
    let mut open = instance.origins.open_questions.open();
    question.number = open.number;
    let message = OriginMessage::Question(question.clone());
    let mut waiting: BTreeSet<SocketAddr> = peers.into_iter().collect();
    let began_at = Instant::now();
    for sent in 1..=MAX_QUESTIONS {
        let unanswered: Vec<SocketAddr> = waiting.iter().copied().collect();
        send(instance, &message, &unanswered);
        let wait_ms = match sent {
            MAX_QUESTIONS => settings.ask_timeout_ms,
            _ => settings.ask_again_ms,
        };
        let until = began_at + Duration::from_millis(wait_ms);
        gather(&mut open, &mut waiting, until, verdict).await;
        if verdict.is_recorded() || waiting.is_empty() {
            break;
        }
    }
    asked - waiting.len()
}

async fn gather(
    open: &mut OpenQuestion<OriginAnswer>,
    waiting: &mut BTreeSet<SocketAddr>,
    until: Instant,
    verdict: &mut Verdict,
) {
    while !waiting.is_empty() && !verdict.is_recorded() {
        let Ok(Some((from, answer))) = timeout_at(until, open.answers.recv()).await else {
            return;
        };
        if waiting.remove(&from) {
            verdict.add(&answer);
        }
    }
}

fn owner_addresses(
    instance: &Instance,
    key: StreamKey,
    count: usize,
    now_ms: u64,
) -> Vec<SocketAddr> {
    let members = instance.members.borrow();
    let live = members.live(&instance.settings.mesh, now_ms);
    let able: Vec<&Member> = live.filter(|member| understands_origins(member)).collect();
    let names = able
        .iter()
        .map(|member| member.last_heartbeat.name.as_str());
    let owners = owners(key, names, count);
    let owners = able
        .iter()
        .filter(|member| owners.contains(&member.last_heartbeat.name.as_str()));
    owners.map(|member| address(instance, member)).collect()
}

fn understands_origins(member: &Member) -> bool {
    member.exchange_version >= ORIGINS_VERSION
}

pub(super) fn address(instance: &Instance, member: &Member) -> SocketAddr {
    let ip: IpAddr = member.last_heartbeat.peer_address.ip();
    instance.machine().origins_address(ip)
}

/// Sends a datagram without waiting. One that doesn't fit the socket's buffer is lost like
/// any other.
pub(super) fn send(instance: &Instance, message: &OriginMessage, peers: &[SocketAddr]) {
    let Some(socket) = instance.origins.socket() else {
        return;
    };
    let bytes = match message.encode() {
        Ok(bytes) => bytes,
        Err(error) => return log::warn!("event=origin_unwritable error=\"{error}\""),
    };
    for &peer in peers {
        let traffic = &instance.mesh_traffic;
        traffic.count(Direction::Sent, "origin", bytes.len());
        if let Err(error) = socket.try_send_to(&bytes, peer) {
            log::debug!("event=origin_lost peer={peer} error=\"{error}\"");
        }
    }
}
