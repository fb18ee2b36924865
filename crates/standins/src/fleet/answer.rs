use {
    serde_json::Value,
    std::{io::Read, net::SocketAddr, time::Instant},
};

/// Timeout of a request that a test sends.
const CALLER_TIMEOUT_S: u64 = 60;

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
        let request = minreq::post(format!("http://{address}{path}"))
            .with_header("Content-Type", "application/json")
            .with_body(body);
        Answer::send(request, headers)
    }

    /// Sends a GET request and reads the response.
    pub fn get(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Answer {
        Answer::send(minreq::get(format!("http://{address}{path}")), headers)
    }

    fn send(mut request: minreq::Request, headers: &[(&str, &str)]) -> Answer {
        for (name, value) in headers {
            request = request.with_header(*name, *value);
        }
        let started = Instant::now();
        let request = request
            .with_timeout(CALLER_TIMEOUT_S)
            .with_header("Connection", "close");
        let Ok(mut response) = request.send_lazy() else {
            return Answer::default();
        };
        // `minreq` reports a connection that closed without a response with
        // this reason phrase.
        if response.reason_phrase == "Server did not provide a status line" {
            return Answer::default();
        }
        let mut answer = Answer {
            status: response.status_code,
            headers: response
                .headers
                .iter()
                .map(|(n, v)| (n.to_ascii_lowercase(), v.clone()))
                .collect(),
            ..Answer::default()
        };
        let mut bytes = Vec::new();
        let mut first = [0];
        if matches!(response.read(&mut first), Ok(1)) {
            answer.first_byte_ms = started.elapsed().as_millis() as u64;
            bytes.push(first[0]);
        }
        answer.ended = response.read_to_end(&mut bytes).is_ok();
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
