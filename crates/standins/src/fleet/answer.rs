use {
    mangowalk_http_client::{HttpAnswer, HttpCall},
    serde_json::Value,
    std::{io::Read, net::SocketAddr, time::Instant},
};

/// Timeout of a request that a test sends.
const CALLER_TIMEOUT_MS: u64 = 60_000;

/// An HTTP response as a caller received it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// HTTP status, 0 if no response was received.
    pub status: u16,
    /// Headers, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body as text, as far as it was received.
    pub body: String,
    /// Time to the first byte of the body, in milliseconds; 0 if there is none.
    pub first_byte_ms: u64,
    /// Whether the body was received completely, by the rules of HTTP.
    pub ended: bool,
}

impl Answer {
    /// Sends a JSON body with POST and reads the response.
    pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
        let mut all = vec![("Content-Type", "application/json")];
        all.extend(headers);
        let call = HttpCall {
            method: "POST",
            path,
            headers: &all,
            body: body.as_bytes(),
        };
        Answer::send(address, &call)
    }

    /// Sends a GET request and reads the response.
    pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
        let call = HttpCall {
            path,
            headers,
            ..HttpCall::default()
        };
        Answer::send(address, &call)
    }

    fn send(address: SocketAddr, call: &HttpCall<'_>) -> Answer {
        let started = Instant::now();
        let address = address.to_string();
        let Ok(response) = mangowalk_http_client::send(&address, call, CALLER_TIMEOUT_MS) else {
            return Answer::default();
        };
        let mut answer = Answer {
            status: response.status,
            headers: headers_of(&response),
            ..Answer::default()
        };
        let mut body = response.body;
        let mut bytes = Vec::new();
        let mut first = [0];
        if matches!(body.read(&mut first), Ok(1)) {
            answer.first_byte_ms = started.elapsed().as_millis() as u64;
            bytes.push(first[0]);
        }
        answer.ended = body.read_to_end(&mut bytes).is_ok();
        answer.body = String::from_utf8_lossy(&bytes).into_owned();
        answer
    }

    /// Returns the value of a header; `name` is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns the body as JSON, null if it is not JSON.
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the events of a stream without the final `[DONE]`.
    pub fn events(&self) -> Vec<Value> {
        self.body
            .lines()
            .filter_map(|line| line.strip_prefix("data: "))
            .filter_map(|data| serde_json::from_str(data).ok())
            .collect()
    }

    /// Returns whether the stream contains the final `[DONE]`.
    pub fn is_done(&self) -> bool {
        self.body.contains("data: [DONE]")
    }

    /// Returns the concatenated text of a streamed chat completion.
    pub fn streamed_text(&self) -> String {
        self.events()
            .iter()
            .filter_map(|e| {
                e["choices"][0]["delta"]["content"]
                    .as_str()
                    .map(str::to_owned)
            })
            .collect()
    }

    /// Returns the text of a chat completion that was not streamed, empty if
    /// there is none.
    pub fn text(&self) -> String {
        let body = self.json();
        body["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }
}

fn headers_of(response: &HttpAnswer) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    let headers = response.headers.iter();
    headers
        .map(|(name, value)| (name.as_str().to_owned(), text(value.as_bytes())))
        .collect()
}
