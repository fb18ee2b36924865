use {
    super::{Traffic, http::exchange},
    mangowalk_core::{
        edge::{Platform, PlatformError, SendError},
        platform::{ListReply, Object, ObjectKey, Precondition, WatchReply},
    },
    mangowalk_http_client::HttpCall,
    serde::{Deserialize, de::DeserializeOwned},
    serde_json::Value,
    std::{net::SocketAddr, sync::Arc},
};

/// Timeout of an instance's call other than a watch.
const CALL_TIMEOUT_MS: u64 = 2_000;

/// Timeout of an operator's call. It is longer, because an operator who sees that
/// the platform was not reached repeats a write that may still take effect.
const OPERATOR_TIMEOUT_MS: u64 = 10_000;

/// Time that a watch call may take in addition to its wait.
const WATCH_MARGIN_MS: u64 = 3_000;

/// HTTP client of the platform's object API.
#[derive(Debug)]
pub struct HttpPlatform {
    address: SocketAddr,
    traffic: Arc<Traffic>,
    call_timeout_ms: u64,
}

#[derive(Deserialize)]
struct WriteReply {
    version: u64,
}

impl HttpPlatform {
    /// Returns a client of the platform at an address, which counts its calls in
    /// `traffic`.
    pub fn new(address: SocketAddr, traffic: Arc<Traffic>) -> HttpPlatform {
        HttpPlatform {
            address,
            traffic,
            call_timeout_ms: CALL_TIMEOUT_MS,
        }
    }

    /// Returns a client for an operator's commands, with a longer timeout.
    pub fn for_operator(address: SocketAddr) -> HttpPlatform {
        HttpPlatform {
            call_timeout_ms: OPERATOR_TIMEOUT_MS,
            ..HttpPlatform::new(address, Arc::default())
        }
    }

    fn write(&self, call: &HttpCall<'_>) -> Result<u64, PlatformError> {
        let exchanged = exchange(self.address, call, self.call_timeout_ms);
        let (status, body) = exchanged.map_err(|e| match e {
            SendError::NotConnected => PlatformError::Unreached,
            _ => PlatformError::Lost,
        })?;
        self.traffic.count_platform_call(body.len());
        match status {
            200 => decode::<WriteReply>(&body)
                .map(|w| w.version)
                .map_err(|_| PlatformError::Lost),
            409 => Err(PlatformError::Conflict {
                version: decode::<WriteReply>(&body)?.version,
            }),
            // A gateway's error doesn't show whether the write took effect.
            500.. => Err(PlatformError::Lost),
            status => Err(PlatformError::Refused { status }),
        }
    }

    fn read<T: DeserializeOwned>(&self, path: &str, timeout_ms: u64) -> Result<T, PlatformError> {
        let call = HttpCall {
            path,
            ..HttpCall::default()
        };
        let exchanged = exchange(self.address, &call, timeout_ms);
        let (status, body) = exchanged.map_err(|_| PlatformError::Unreached)?;
        self.traffic.count_platform_call(body.len());
        if status != 200 {
            return Err(PlatformError::Refused { status });
        }
        decode(&body)
    }
}

impl Platform for HttpPlatform {
    fn get(&self, key: &ObjectKey) -> Result<Option<Object>, PlatformError> {
        let path = object_path(key, Precondition::Any);
        match self.read(&path, self.call_timeout_ms) {
            Ok(object) => Ok(Some(object)),
            Err(PlatformError::Refused { status: 404 }) => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn put(
        &self,
        key: &ObjectKey,
        expect: Precondition,
        body: &Value,
    ) -> Result<u64, PlatformError> {
        self.write(&HttpCall {
            method: "PUT",
            path: &object_path(key, expect),
            body: body.to_string().as_bytes(),
            ..HttpCall::default()
        })
    }

    fn delete(&self, key: &ObjectKey, expect: Precondition) -> Result<u64, PlatformError> {
        self.write(&HttpCall {
            method: "DELETE",
            path: &object_path(key, expect),
            ..HttpCall::default()
        })
    }

    fn list(&self, kinds: &[&str]) -> Result<ListReply, PlatformError> {
        let path = format!("/list?kinds={}", kinds.join(","));
        self.read(&path, self.call_timeout_ms)
    }

    fn watch(
        &self,
        kinds: &[&str],
        after_revision: u64,
        wait_ms: u64,
    ) -> Result<WatchReply, PlatformError> {
        let kinds = kinds.join(",");
        let path = format!("/watch?kinds={kinds}&after={after_revision}&wait_ms={wait_ms}");
        self.read(&path, wait_ms + WATCH_MARGIN_MS)
    }
}

fn object_path(key: &ObjectKey, expect: Precondition) -> String {
    let condition = match expect {
        Precondition::Any => String::new(),
        Precondition::Absent => "?absent=1".to_owned(),
        Precondition::Version(version) => format!("?version={version}"),
    };
    format!("/objects/{}/{}{condition}", key.kind, key.name)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(body).map_err(|_| PlatformError::Lost)
}
