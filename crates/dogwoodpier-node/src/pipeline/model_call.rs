//! The JSON bodies of the model APIs.

use std::sync::Arc;

use serde::Deserialize;
use serde_json::Value;

use dogwoodpier_core::Refusal;
use dogwoodpier_upstream::prefix::count_tokens;

use super::accept::invalid_request;

const DEFAULT_MAX_TOKENS: u64 = 256;
const MAX_MAX_TOKENS: u64 = 65_536;

/// A model API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Api {
    /// `/v1/completions`.
    Completions,
    /// `/v1/chat/completions`.
    Chat,
}

impl Api {
    /// Returns the API at a path.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/completions" => Some(Self::Completions),
            "/v1/chat/completions" => Some(Self::Chat),
            _ => None,
        }
    }
}

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// API that the request was sent to.
    pub api: Api,
    /// Model.
    pub model: Arc<str>,
    /// Prompt; for a chat, all messages in one text.
    pub prompt: Arc<str>,
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Maximum number of output tokens.
    pub max_tokens: u64,
    /// Whether to stream the answer.
    pub stream: bool,
    /// Whether a stream ends with a `usage` chunk.
    pub stream_usage: bool,
}

#[derive(Deserialize)]
struct Body {
    model: Arc<str>,
    prompt: Option<Prompt>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u64>,
    max_completion_tokens: Option<u64>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    n: Option<u64>,
    best_of: Option<u64>,
    echo: Option<bool>,
    logprobs: Option<Value>,
    tools: Option<Value>,
}

#[derive(Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Several(Vec<String>),
}

#[derive(Deserialize)]
struct Message {
    role: String,
    content: Content,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

/// Parses the body of a request to a model API.
pub fn parse(api: Api, body: &[u8]) -> Result<ModelCall, Refusal> {
    let body: Body = serde_json::from_slice(body)
        .map_err(|error| invalid_request(format!("the body is not a valid request: {error}")))?;
    refuse_unsupported(&body)?;
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_MAX_TOKENS).contains(&max_tokens) {
        return Err(invalid_request(format!(
            "max_tokens must be from 1 to {MAX_MAX_TOKENS}"
        )));
    }
    let prompt = match api {
        Api::Completions => completion_prompt(body.prompt)?,
        Api::Chat => chat_prompt(body.messages)?,
    };
    if prompt.is_empty() {
        return Err(invalid_request("the prompt is empty"));
    }
    Ok(ModelCall {
        api,
        model: body.model,
        prompt_tokens: count_tokens(&prompt),
        prompt: prompt.into(),
        max_tokens,
        stream: body.stream.unwrap_or(false),
        stream_usage: body
            .stream_options
            .is_some_and(|options| options.include_usage),
    })
}

// Refuses unsupported options that would change the form of the answer, rather than ignoring them.
fn refuse_unsupported(body: &Body) -> Result<(), Refusal> {
    let wants_several = body.n.unwrap_or(1) != 1 || body.best_of.unwrap_or(1) != 1;
    if wants_several {
        return Err(invalid_request("n and best_of must be 1"));
    }
    if body.echo.unwrap_or(false) {
        return Err(invalid_request("echo is not supported"));
    }
    let is_unset = |value: &Option<Value>| {
        value.as_ref().is_none_or(|value| {
            matches!(value, Value::Null | Value::Bool(false)) || *value == Value::Array(Vec::new())
        })
    };
    if !is_unset(&body.logprobs) {
        return Err(invalid_request("logprobs is not supported"));
    }
    if !is_unset(&body.tools) {
        return Err(invalid_request("tools is not supported"));
    }
    Ok(())
}

fn completion_prompt(prompt: Option<Prompt>) -> Result<String, Refusal> {
    match prompt {
        Some(Prompt::One(text)) => Ok(text),
        Some(Prompt::Several(mut texts)) if texts.len() == 1 => Ok(texts.remove(0)),
        Some(Prompt::Several(_)) => Err(invalid_request("prompt must be one text")),
        None => Err(invalid_request("prompt is missing")),
    }
}

fn chat_prompt(messages: Option<Vec<Message>>) -> Result<String, Refusal> {
    let messages = messages.ok_or_else(|| invalid_request("messages is missing"))?;
    if messages.is_empty() {
        return Err(invalid_request("messages is empty"));
    }
    let mut prompt = String::new();
    for message in messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        match message.content {
            Content::Text(text) => prompt.push_str(&text),
            Content::Parts(parts) => {
                for part in parts {
                    let text = part
                        .text
                        .filter(|_| part.kind == "text")
                        .ok_or_else(|| invalid_request("only text parts are supported"))?;
                    prompt.push_str(&text);
                }
            }
        }
        prompt.push('\n');
    }
    Ok(prompt)
}
