//! Asks the administration API of whichever instance answers.

use std::{fs, path::PathBuf, time::Duration};

use eyre::{WrapErr, bail, eyre};
use reqwest::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::{CommandResult, Failure};
use crate::{
    core::control::{ChangeOutcome, Revision},
    net::wire::Presets,
    runtime::ChangeAnswer,
    settings::{self, Settings},
};

/// Asks the administration API.
pub(super) struct Client {
    settings: Settings,
    token: String,
    only: Option<String>,
    http: reqwest::Client,
}

/// Holds the flags that every command of an operator takes.
pub(super) struct ClientFlags {
    pub(super) settings: PathBuf,
    pub(super) token_file: Option<PathBuf>,
    pub(super) via: Option<String>,
}

/// Holds the flags of every change.
pub(super) struct ChangeFlags {
    pub(super) change_id: Option<String>,
    pub(super) expected_revision: Option<Revision>,
    pub(super) wait_ms: Option<u64>,
    pub(super) json: bool,
}

/// Names a change: the method and path, and the body if it has one.
pub(super) struct ChangeCall<'a, T> {
    pub(super) method: Method,
    pub(super) path: &'a str,
    pub(super) body: Option<&'a T>,
}

/// An instance that is frozen takes connections and answers nothing; after this
/// the next one is asked. It is longer than what `--wait` waits.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long `--wait` waits.
pub(super) const WAIT_MS: u64 = 10_000;

impl Client {
    pub(super) fn new(flags: ClientFlags) -> Result<Self, Failure> {
        let settings =
            settings::load(&flags.settings).map_err(|findings| Failure::Usage(findings.into()))?;
        let first = settings.operator_tokens.values().next().cloned();
        let file = flags.token_file.or(first).ok_or_else(|| {
            Failure::Usage(eyre!("the settings name no operator; give --token-file"))
        })?;
        let token = fs::read_to_string(&file)
            .wrap_err_with(|| format!("{}: name the file with your token", file.display()))
            .map_err(Failure::Usage)?;
        if let Some(name) = flags.via.as_ref().filter(|n| !settings.instances.contains_key(*n)) {
            return Err(Failure::Usage(eyre!("--via: the settings have no instance `{name}`")));
        }
        let http = reqwest::Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .build()
            .map_err(eyre::Report::from)?;
        Ok(Self { settings, token: token.trim().to_owned(), only: flags.via, http })
    }

    /// Reads something as of now.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> eyre::Result<T> {
        let answer = self.call(Method::GET, path, &[], None::<&()>).await?;
        read(answer).await
    }

    /// Makes a change and says what became of it.
    pub(super) async fn change<T: Serialize>(
        &self,
        call: ChangeCall<'_, T>,
        flags: ChangeFlags,
    ) -> CommandResult {
        let expected = match flags.expected_revision {
            Some(revision) => revision,
            None => self.get::<Presets>("/v1/presets").await?.revision,
        };
        let change_id =
            flags.change_id.unwrap_or_else(|| format!("cli-{:016x}", rand::random::<u64>()));
        let headers =
            [("x-change-id", change_id.clone()), ("x-expected-revision", expected.to_string())];
        let path = match flags.wait_ms {
            Some(wait_ms) => format!("{}?wait_ms={wait_ms}", call.path),
            None => call.path.to_owned(),
        };
        let answer =
            self.call(call.method, &path, &headers, call.body).await.wrap_err_with(|| {
                format!("the change may be made yet; send it again with --change-id {change_id}")
            })?;
        let status = answer.status();
        let known = status.is_success()
            || matches!(status, StatusCode::CONFLICT | StatusCode::UNPROCESSABLE_ENTITY);
        if !known {
            return Err(refused(answer).await.into());
        }
        let answer: ChangeAnswer = answer.json().await.map_err(eyre::Report::from)?;
        report(&answer, flags.json)
    }

    /// Asks one instance after the other until one answers. A change carries
    /// its id, so asking twice makes it once.
    async fn call<T: Serialize>(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, String)],
        body: Option<&T>,
    ) -> eyre::Result<reqwest::Response> {
        let mut failures = Vec::new();
        for (name, instance) in &self.settings.instances {
            if self.only.as_ref().is_some_and(|only| only != name) {
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
                Ok(answer) if answer.status() == StatusCode::SERVICE_UNAVAILABLE => {
                    failures.push(format!("{name}: {:#}", refused(answer).await));
                }
                Ok(answer) => return Ok(answer),
                Err(error) => failures.push(format!("{name}: {error}")),
            }
        }
        bail!("no instance could answer:\n  {}", failures.join("\n  "))
    }
}

async fn read<T: DeserializeOwned>(answer: reqwest::Response) -> eyre::Result<T> {
    if !answer.status().is_success() {
        return Err(refused(answer).await);
    }
    Ok(answer.json().await?)
}

async fn refused(answer: reqwest::Response) -> eyre::Report {
    let status = answer.status();
    let text = answer.text().await.unwrap_or_default();
    let body: Option<serde_json::Value> = serde_json::from_str(&text).ok();
    let message = body.as_ref().and_then(|body| body.get("message")?.as_str());
    eyre!("refused with {status}: {}", message.unwrap_or(&text))
}

fn report(answer: &ChangeAnswer, json: bool) -> CommandResult {
    if json {
        print_json(answer)?;
    }
    match &answer.outcome {
        ChangeOutcome::Accepted { revision, .. } => {
            if !json {
                println!("accepted as revision {revision} (change id {})", answer.change_id);
            }
            report_in_force(answer, json)
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

fn report_in_force(answer: &ChangeAnswer, json: bool) -> CommandResult {
    match answer.in_force_everywhere {
        None => Ok(()),
        Some(true) => {
            if !json {
                println!("in force on every live instance");
            }
            Ok(())
        }
        Some(false) if answer.lagging.is_empty() => {
            Err(eyre!("accepted, but no leader could say yet where it is in force; see `status`")
                .into())
        }
        Some(false) => {
            Err(eyre!("accepted, but not yet in force on: {}", answer.lagging.join(", ")).into())
        }
    }
}

/// Prints a value as JSON.
pub(super) fn print_json<T: Serialize>(value: &T) -> eyre::Result<()> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// Defines the flags of a command of an operator, with the given ones added.
macro_rules! client_command {
    (
        $(#[$meta:meta])*
        $name:ident as $command:literal { $($(#[$field_meta:meta])* $field:ident: $type:ident $(<$arg:ident>)?,)* }
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
            fn client(&self) -> Result<$crate::cli::client::Client, $crate::cli::Failure> {
                $crate::cli::client::Client::new($crate::cli::client::ClientFlags {
                    settings: self.settings.clone(),
                    token_file: self.token_file.clone(),
                    via: self.via.clone(),
                })
            }
        }
    };
}

/// Defines the flags of a command that makes a change.
macro_rules! change_command {
    (
        $(#[$meta:meta])*
        $name:ident as $command:literal { $($(#[$field_meta:meta])* $field:ident: $type:ident $(<$arg:ident>)?,)* }
    ) => {
        $crate::cli::client::client_command! {
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

pub(super) use {change_command, client_command};
