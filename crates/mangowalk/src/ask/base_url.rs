use http::Uri;

/// Port of URLs without one.
const DEFAULT_PORT: u16 = 80;

/// URL of an instance, to whose path those of its endpoints are appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct BaseUrl {
    /// Host and port.
    pub(super) authority: String,
    path: String,
}

impl BaseUrl {
    /// Parses an `http` URL. Returns `None` if it is another text.
    pub(super) fn parse(url: &str) -> Option<BaseUrl> {
        let url: Uri = url.parse().ok()?;
        let host = url.host().filter(|_| url.scheme_str() == Some("http"))?;
        Some(BaseUrl {
            authority: format!("{host}:{}", url.port_u16().unwrap_or(DEFAULT_PORT)),
            path: url.path().trim_end_matches('/').to_owned(),
        })
    }

    /// Returns the path of an endpoint.
    pub(super) fn path_of(&self, endpoint: &str) -> String {
        format!("{}{endpoint}", self.path)
    }
}
