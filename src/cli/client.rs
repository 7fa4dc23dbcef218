//! Calls the administration API, and defines the flags that its commands share.

use std::{fs, path::PathBuf, time::Duration};

use eyre::{WrapErr, bail, eyre};
use reqwest::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{CommandError, CommandResult};
use crate::{
    core::control::{ChangeOutcome, Revision},
    net::wire::Presets,
    runtime::ChangeResponse,
    settings::{self, Settings},
};

/// Sends requests to the administration API. It tries the instances one after the other.
pub(super) struct AdminClient {
    settings: Settings,
    token: String,
    /// The only instance to call, if one was given.
    via: Option<String>,
    http: reqwest::Client,
}

/// Holds the flags that every operator command takes.
pub(super) struct ClientFlags {
    pub(super) settings: PathBuf,
    pub(super) token_file: Option<PathBuf>,
    pub(super) via: Option<String>,
}

/// Holds the flags that every command that makes a change takes.
pub(super) struct ChangeFlags {
    pub(super) change_id: Option<String>,
    pub(super) expected_revision: Option<Revision>,
    pub(super) wait_ms: Option<u64>,
    pub(super) json: bool,
}

/// Represents a call of the API that makes a change.
pub(super) struct ChangeCall<'a, T> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Option<&'a T>,
}

/// How long an instance may take to respond before the next one is tried. A frozen
/// instance accepts connections and never responds. The timeout is longer than
/// `WAIT_MS`, so that a request with `--wait` does not time out.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long `--wait` waits until a change is in force everywhere.
pub(super) const WAIT_MS: u64 = 10_000;

impl AdminClient {
    /// Reads the settings and the operator's token.
    pub(super) fn new(flags: ClientFlags) -> Result<Self, CommandError> {
        let settings = settings::load(&flags.settings)
            .map_err(|findings| CommandError::Usage(findings.into()))?;
        let default_file = settings.operator_tokens.values().next().cloned();
        let file = flags.token_file.or(default_file).ok_or_else(|| {
            CommandError::Usage(eyre!("the settings name no operator; give --token-file"))
        })?;
        let token = fs::read_to_string(&file)
            .wrap_err_with(|| {
                format!(
                    "can't read the token file {}; give yours with --token-file",
                    file.display()
                )
            })
            .map_err(CommandError::Usage)?;
        if let Some(name) = flags.via.as_ref().filter(|n| !settings.instances.contains_key(*n)) {
            return Err(CommandError::Usage(eyre!(
                "--via: the settings have no instance `{name}`"
            )));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map_err(eyre::Report::from)?;
        Ok(Self { settings, token: token.trim().to_owned(), via: flags.via, http })
    }

    /// Sends a GET request to the API and decodes the response.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let response = self.send(Method::GET, path, &[], None::<&()>).await?;
        read_json(response).await
    }

    /// Makes a change and prints its outcome. Without `--expected-revision`, the
    /// current revision is read first.
    pub(super) async fn change<T: Serialize>(
        &self,
        change: ChangeCall<'_, T>,
        flags: ChangeFlags,
    ) -> CommandResult {
        let expected_revision = match flags.expected_revision {
            Some(revision) => revision,
            None => self.get::<Presets>("/v1/presets").await?.revision,
        };
        let change_id =
            flags.change_id.unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>()));
        let headers = [
            ("x-change-id", change_id.clone()),
            ("x-expected-revision", expected_revision.to_string()),
        ];
        let path = match flags.wait_ms {
            Some(wait_ms) => format!("{}?wait_ms={wait_ms}", change.path),
            None => change.path.to_owned(),
        };
        let response =
            self.send(change.method, &path, &headers, change.body).await.wrap_err_with(|| {
                format!(
                    "the change may still take effect; send it again with --change-id {change_id}"
                )
            })?;
        let status = response.status();
        let has_outcome = status.is_success()
            || matches!(status, StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY);
        if !has_outcome {
            return Err(error_from(response).await.into());
        }
        let body: ChangeResponse = response.json().await.map_err(eyre::Report::from)?;
        print_outcome(&body, flags.json)
    }

    /// Sends a request to one instance after the other until one responds with
    /// a status other than 503. A change carries an id, so it is made only once even
    /// if several instances receive it.
    async fn send<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&T>,
    ) -> eyre::Result<reqwest::Response> {
        let mut failures = Vec::new();
        for (name, instance) in &self.settings.instances {
            if self.via.as_ref().is_some_and(|via| via != name) {
                continue;
            }
            let url = format!("http://{}{path}", instance.operator_address);
            let mut request = self.http.request(method.clone(), url).bearer_auth(&self.token);
            for (name, value) in headers {
                request = request.header(*name, value);
            }
            if let Some(body) = body {
                request = request.json(body);
            }
            match request.send().await {
                Ok(response) if response.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    failures.push(format!("{name}: {:#}", error_from(response).await));
                }
                Ok(response) => return Ok(response),
                Err(error) => failures.push(format!("{name}: {error}")),
            }
        }
        bail!("no instance could answer:\n  {}", failures.join("\n  "))
    }
}

async fn read_json<T: DeserializeOwned>(response: reqwest::Response) -> eyre::Result<T> {
    if !response.status().is_success() {
        return Err(error_from(response).await);
    }
    Ok(response.json().await?)
}

/// Returns the error for a response whose status is not a success.
async fn error_from(response: reqwest::Response) -> eyre::Report {
    let status = response.status();
    let text = response.text().await.unwrap_or_default();
    let body: Option<serde_json::Value> = serde_json::from_str(&text).ok();
    let message = body.as_ref().and_then(|body| body.get("message")?.as_str());
    eyre!("refused with {status}: {}", message.unwrap_or(&text))
}

fn print_outcome(response: &ChangeResponse, json: bool) -> CommandResult {
    if json {
        print_json(response)?;
    }
    match &response.outcome {
        ChangeOutcome::Accepted { revision, .. } => {
            if !json {
                println!("accepted as revision {revision} (change id {})", response.change_id);
            }
            print_in_force(response, json)
        }
        ChangeOutcome::Conflict { revision, winner, winner_actor } => Err(eyre!(
            "not made: `{winner_actor}` changed the same revision first (change id {winner}); the \
             revision is now {revision}. Look at it and decide again"
        )
        .into()),
        ChangeOutcome::Rejected { findings, .. } => {
            Err(eyre!("not made:\n  {}", findings.join("\n  ")).into())
        }
    }
}

fn print_in_force(response: &ChangeResponse, json: bool) -> CommandResult {
    match response.in_force_everywhere {
        None => Ok(()),
        Some(true) => {
            if !json {
                println!("in force on every live instance");
            }
            Ok(())
        }
        Some(false) if response.lagging.is_empty() => {
            Err(eyre!("accepted, but no leader could say yet where it is in force; see `status`")
                .into())
        }
        Some(false) => {
            Err(eyre!("accepted, but not yet in force on: {}", response.lagging.join(", ")).into())
        }
    }
}

/// Prints a value to stdout as indented JSON.
pub(super) fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Defines the flags of an operator command: its own and those that all operator
/// commands share.
macro_rules! operator_command {
    (
        $(#[$meta:meta])*
        $name:ident as $command:literal {
            $($(#[$field_meta:meta])* $field:ident: $type:ident $(<$arg:ident>)?,)*
        }
    ) => {
        $(#[$meta])*
        #[derive(argh::FromArgs)]
        #[argh(subcommand, name = $command)]
        pub(super) struct $name {
            $($(#[$field_meta])* $field: $type $(<$arg>)?,)*
            /// the settings file
            #[argh(option)]
            settings: std::path::PathBuf,
            /// the file with your token; the settings' first operator's by default
            #[argh(option)]
            token_file: Option<std::path::PathBuf>,
            /// ask this instance only; all in turn by default
            #[argh(option)]
            via: Option<String>,
            /// print JSON
            #[argh(switch)]
            json: bool,
        }

        impl $name {
            fn client(
                &self,
            ) -> Result<$crate::cli::client::AdminClient, $crate::cli::CommandError> {
                $crate::cli::client::AdminClient::new($crate::cli::client::ClientFlags {
                    settings: self.settings.clone(),
                    token_file: self.token_file.clone(),
                    via: self.via.clone(),
                })
            }
        }
    };
}

/// Defines the flags of an operator command that makes a change.
macro_rules! change_command {
    (
        $(#[$meta:meta])*
        $name:ident as $command:literal {
            $($(#[$field_meta:meta])* $field:ident: $type:ident $(<$arg:ident>)?,)*
        }
    ) => {
        $crate::cli::client::operator_command! {
            $(#[$meta])*
            $name as $command {
                $($(#[$field_meta])* $field: $type $(<$arg>)?,)*
                /// the id of the change; give the same one to send it again
                #[argh(option)]
                change_id: Option<String>,
                /// make the change only on this revision; the current one by default
                #[argh(option)]
                expected_revision: Option<u64>,
                /// wait up to 10 s until every live instance has it in force
                #[argh(switch)]
                wait: bool,
            }
        }

        impl $name {
            fn change_flags(&self) -> $crate::cli::client::ChangeFlags {
                $crate::cli::client::ChangeFlags {
                    change_id: self.change_id.clone(),
                    expected_revision: self.expected_revision,
                    wait_ms: self.wait.then_some($crate::cli::client::WAIT_MS),
                    json: self.json,
                }
            }
        }
    };
}

pub(super) use {change_command, operator_command};
