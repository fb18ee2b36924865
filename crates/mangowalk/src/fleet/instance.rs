use {
    crate::failure::Failure,
    error_stack::Report,
    mangowalk_core::{
        edge::Platform,
        platform::{Object, system_kind},
    },
    serde::Serialize,
    std::net::SocketAddr,
};

/// An instance as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct Instance {
    /// Address for callers, which is the instance's name on the platform.
    pub(crate) name: String,
    /// Address for operators; `None` if the instance lists no valid one.
    pub(crate) operator_address: Option<SocketAddr>,
}

impl Instance {
    fn from_object(object: &Object) -> Instance {
        let address = object.body["operator_address"].as_str();
        Instance {
            name: object.key.name.clone(),
            operator_address: address.and_then(|a| a.parse().ok()),
        }
    }
}

/// Returns every instance that the platform lists.
///
/// # Errors
///
/// Fails if the platform can't be read.
pub(crate) fn instances(platform: &dyn Platform) -> Result<Vec<Instance>, Report<Failure>> {
    let list = platform
        .list(&[system_kind::INSTANCE])
        .map_err(|e| Failure::from_platform_error(&e))?;
    Ok(list.objects.iter().map(Instance::from_object).collect())
}
