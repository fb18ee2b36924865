use {
    crate::serve::Router,
    mangowalk_core::{edge::Edges, refusal::Refusal},
    serde_json::{Value, json},
};

fn model(id: &str) -> Value {
    json!({ "id": id, "object": "model", "created": 0, "owned_by": "mangowalk" })
}

/// Returns the JSON list of offered models.
pub(super) fn list<E: Edges>(router: &Router<E>) -> Vec<u8> {
    let view = router.shared().config.view();
    let data: Vec<Value> = view.models.keys().map(|id| model(id)).collect();
    json!({ "object": "list", "data": data })
        .to_string()
        .into_bytes()
}

/// Returns one offered model as JSON.
///
/// # Errors
///
/// Fails if the model is not offered.
pub(super) fn get<E: Edges>(router: &Router<E>, id: &str) -> Result<Vec<u8>, Refusal> {
    if !router.shared().config.view().models.contains_key(id) {
        return Err(Refusal::NotFound {
            what: "Model",
            name: id.to_owned(),
        });
    }
    Ok(model(id).to_string().into_bytes())
}
