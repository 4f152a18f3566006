//! Startup and authentication of a connection to a target instance.

use postgres_protocol::{
    authentication::{
        md5_hash,
        sasl::{ChannelBinding, SCRAM_SHA_256, ScramSha256},
    },
    message::{backend::Message, frontend},
};
use tokio::net::TcpStream;

use crate::{
    adapters::backend::{BackendError, CancelKey, Connection, parse_error_response},
    settings::owner::OwnerSettings,
};

/// Credentials for logging in to the targets.
#[derive(Clone)]
pub struct Credentials {
    pub user: String,
    pub password: String,
}

impl From<&OwnerSettings> for Credentials {
    fn from(settings: &OwnerSettings) -> Self {
        Self { user: settings.user.clone(), password: settings.password.clone() }
    }
}

/// Connects to the instance at `addr` and logs in to `database`.
pub async fn connect(
    addr: &str,
    database: &str,
    credentials: &Credentials,
) -> Result<Connection, BackendError> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut connection = Connection::new(stream, addr);
    let parameters = [
        ("user", credentials.user.as_str()),
        ("database", database),
        ("application_name", "pomelopin"),
    ];
    frontend::startup_message(parameters, connection.write_buf())?;
    connection.flush().await?;
    authenticate(&mut connection, credentials).await?;
    wait_until_ready(&mut connection).await?;
    Ok(connection)
}

async fn authenticate(
    connection: &mut Connection,
    credentials: &Credentials,
) -> Result<(), BackendError> {
    let password = credentials.password.as_bytes();
    let mut scram = None;
    loop {
        match connection.read_message().await? {
            Message::AuthenticationOk => return Ok(()),
            Message::AuthenticationCleartextPassword => {
                frontend::password_message(password, connection.write_buf())?;
            }
            Message::AuthenticationMd5Password(body) => {
                let hash = md5_hash(credentials.user.as_bytes(), password, body.salt());
                frontend::password_message(hash.as_bytes(), connection.write_buf())?;
            }
            Message::AuthenticationSasl(_) => {
                let client = ScramSha256::new(password, ChannelBinding::unsupported());
                let client_first = client.message();
                frontend::sasl_initial_response(
                    SCRAM_SHA_256,
                    client_first,
                    connection.write_buf(),
                )?;
                scram = Some(client);
            }
            Message::AuthenticationSaslContinue(body) => {
                let client = scram.as_mut().ok_or_else(|| unexpected_message("SASLContinue"))?;
                client.update(body.data())?;
                frontend::sasl_response(client.message(), connection.write_buf())?;
            }
            Message::AuthenticationSaslFinal(body) => {
                let client = scram.as_mut().ok_or_else(|| unexpected_message("SASLFinal"))?;
                client.finish(body.data())?;
                continue;
            }
            Message::ErrorResponse(body) => {
                return Err(BackendError::Target(parse_error_response(&body)?));
            }
            _ => return Err(unexpected_message("authentication")),
        }
        connection.flush().await?;
    }
}

async fn wait_until_ready(connection: &mut Connection) -> Result<(), BackendError> {
    loop {
        match connection.read_message().await? {
            Message::BackendKeyData(body) => {
                let (process_id, secret_key) = (body.process_id(), body.secret_key());
                connection.set_cancel_key(CancelKey { process_id, secret_key });
            }
            Message::ReadyForQuery(_) => return Ok(()),
            Message::ParameterStatus(_) | Message::NoticeResponse(_) => {}
            Message::ErrorResponse(body) => {
                return Err(BackendError::Target(parse_error_response(&body)?));
            }
            _ => return Err(unexpected_message("startup")),
        }
    }
}

fn unexpected_message(step: &str) -> BackendError {
    BackendError::Protocol(format!("unexpected message during {step}"))
}
