//! Statement classification, its cache, and route matching.

use std::time::Instant;

use indexmap::IndexMap;
use pomelopin::{
    ids::{Service, Workspace},
    routing::{
        cache::ClassificationCache,
        classify::{StatementClass, classify},
        route::{RouteError, RouteIndex, find_route},
    },
    settings::routing::RoutingSettings,
    state::model::{Access, Action, ClusterView, Route, WorkspaceSpec},
};
use quickcheck::{Gen, QuickCheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn access(table: &str, action: Action) -> StatementClass {
    StatementClass::TableAccess { table: table.into(), action }
}

/// Guards against a statement that is attributed to the wrong table or action, and
/// against a supported statement that is rejected.
#[test]
fn statements_on_one_table_are_classified() {
    let cases = [
        ("SELECT id, credit FROM returns WHERE id = $1", access("returns", Action::Select)),
        ("select * from public.Returns as r limit 3;", access("returns", Action::Select)),
        ("SELECT * FROM \"Returns\"", access("Returns", Action::Select)),
        (
            "SELECT count(*) FROM returns GROUP BY a HAVING max(b) > 2",
            access("returns", Action::Select),
        ),
        ("SELECT * FROM returns FOR UPDATE", access("returns", Action::Update)),
        ("INSERT INTO jobs (a) VALUES ($1) RETURNING id", access("jobs", Action::Insert)),
        ("INSERT INTO jobs (a) VALUES (1) ON CONFLICT DO NOTHING", access("jobs", Action::Insert)),
        ("UPDATE jobs SET a = 'select' WHERE id = 2", access("jobs", Action::Update)),
        ("DELETE FROM jobs WHERE id = 2 /* table */", access("jobs", Action::Delete)),
        ("BEGIN", StatementClass::Begin),
        ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE", StatementClass::Begin),
        ("COMMIT", StatementClass::Commit),
        ("END", StatementClass::Commit),
        ("ROLLBACK", StatementClass::Rollback),
        ("SELECT 1", StatementClass::NoTable),
        (" ; -- nothing", StatementClass::Empty),
        ("SET pomelopin.session = 's 1'", set("pomelopin.session", "s 1")),
        ("SET pomelopin.mark TO 'returns:1/2'", set("pomelopin.mark", "returns:1/2")),
        ("SET TIME ZONE 'UTC'", set("timezone", "UTC")),
        ("SET application_name = psql", set("application_name", "psql")),
        ("SHOW pomelopin.mark", StatementClass::Show { name: "pomelopin.mark".into() }),
        (
            "SHOW TRANSACTION ISOLATION LEVEL",
            StatementClass::Show { name: "transaction_isolation".into() },
        ),
    ];
    for (sql, expected) in cases {
        assert_eq!(classify(sql), Ok(expected), "{sql}");
    }
}

fn set(name: &str, value: &str) -> StatementClass {
    StatementClass::Set { name: name.into(), value: value.into() }
}

/// Guards against statements that access a table without a route, or the request
/// records, through a part of the statement that the route does not cover.
#[test]
fn statements_that_access_other_data_are_rejected() {
    let cases = [
        "SELECT * FROM a WHERE id IN (SELECT id FROM secret)",
        "SELECT (SELECT max(id) FROM secret) FROM a",
        "SELECT * FROM a WHERE id IN (TABLE secret)",
        "SELECT * FROM a ORDER BY (SELECT 1)",
        "SELECT * FROM a LIMIT (SELECT 1)",
        "SELECT * FROM a, b",
        "SELECT * FROM a JOIN b ON true",
        "SELECT * FROM (SELECT * FROM a) x",
        "SELECT 1 UNION SELECT id FROM secret",
        "TABLE secret",
        "WITH x AS (DELETE FROM a RETURNING *) SELECT * FROM x",
        "WITH x AS (SELECT 1) UPDATE a SET b = 1",
        "SELECT * INTO b FROM a",
        "INSERT INTO a SELECT * FROM secret",
        "INSERT INTO a VALUES ((SELECT id FROM secret))",
        "INSERT INTO a VALUES (1) ON CONFLICT (id) DO UPDATE SET b = 1",
        "INSERT INTO a VALUES (1) RETURNING (SELECT id FROM secret)",
        "UPDATE a SET b = 1 FROM secret",
        "UPDATE a SET b = (SELECT id FROM secret)",
        "DELETE FROM a USING secret",
        "DELETE FROM a WHERE b = (SELECT 1)",
        "SELECT pomelopin_position()",
        "SELECT POMELOPIN_position() FROM a",
        "SELECT \"pomelopin_position\"()",
        "SELECT * FROM pomelopin_requests",
        "SELECT * FROM public.\"pomelopin_requests\"",
        "INSERT INTO Pomelopin_Requests VALUES (1)",
        "SELECT * FROM U&\"\\0070omelopin_requests\"",
        "SELECT set_config('a', 'b', false)",
        "SELECT pg_sleep (10) FROM a",
        "SELECT query_to_xml('SELECT 1', true, true, '')",
        "SELECT * FROM generate_series(1, 3)",
        "SELECT 1; SELECT 2",
        "SET standard_conforming_strings = off",
        "SET LOCAL application_name = 'x'",
        "SET role = postgres",
        "SET ROLE postgres",
        "SHOW pomelopin.mark; DELETE FROM a",
        "SHOW ALL",
        "SAVEPOINT a",
        "ROLLBACK TO a",
        "COMMIT AND CHAIN",
        "COPY a FROM STDIN",
        "CREATE TABLE x (a int)",
        "DROP TABLE a",
        "TRUNCATE a",
        "CALL f()",
        "DO $$ BEGIN END $$",
        "EXPLAIN ANALYZE DELETE FROM a",
        "PREPARE p AS SELECT 1",
        "LISTEN a",
        "LOCK TABLE a",
        "BEGIN; DELETE FROM a; END",
    ];
    for sql in cases {
        let result = classify(sql);
        assert!(result.is_err(), "{sql}: {result:?}");
    }
    assert_eq!(classify("SELECT 1; SELECT 2").map_err(|error| error.code()), Err("0A000"));
    assert_eq!(classify("SELEC 1").map_err(|error| error.code()), Err("42601"));
}

/// Guards against a panic on arbitrary text, and against text that is accepted although
/// it accesses a table with a reserved name.
#[test]
fn random_statements_are_classified_or_rejected() {
    fn property(seed: u64, noise: String) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let fragments = [
            "SELECT ",
            "a",
            " FROM ",
            "pomelopin_requests",
            "\"",
            "'",
            "$$",
            "/*",
            "*/",
            "--",
            "(",
            ")",
            ";",
            ",",
            " WHERE ",
            "U&",
            "E'\\",
            "INSERT INTO ",
            " VALUES ",
            "UPDATE ",
            " SET ",
            "\n",
            "::",
            &noise,
        ];
        let sql: String = (0..rng.random_range(1..14))
            .map(|_| fragments[rng.random_range(0..fragments.len())])
            .collect();
        match classify(&sql) {
            Ok(StatementClass::TableAccess { table, .. }) => !table.contains("pomelopin_"),
            Ok(_) | Err(_) => true,
        }
    }
    let rng = Gen::from_size_and_seed(20, 4);
    QuickCheck::new().rng(rng).tests(20_000).quickcheck(property as fn(u64, String) -> bool);
}

/// Guards against growth of the cache under texts that never repeat, and against a wrong
/// class for a text that repeats among them.
#[test]
fn cache_is_bounded_under_texts_that_never_repeat() {
    let settings = RoutingSettings { cached_statements: 64, ..Default::default() };
    let cache = ClassificationCache::new(&settings);
    let repeated = "SELECT a FROM t WHERE b = $1";
    for number in 0..2_000 {
        assert_eq!(cache.classify(repeated), Ok(access("t", Action::Select)));
        assert!(cache.classify(&format!("SELECT {number} FROM t")).is_ok());
        assert!(cache.len() <= 64);
    }
    let long = format!("SELECT a FROM t WHERE b = '{}'", "x".repeat(5_000));
    assert!(cache.classify(&long).is_ok() && cache.len() <= 64);
}

/// Measures parsing against a cache lookup; guards only against statements that fail.
#[test]
fn classification_cost_is_printed() {
    const ROUNDS: u32 = 20_000;
    let cache = ClassificationCache::new(&RoutingSettings::default());
    for sql in [
        "SELECT id, member, credit FROM returns WHERE id = $1",
        "INSERT INTO credits (member, cartridge, amount) VALUES ($1, $2, $3) RETURNING id",
        "BEGIN",
    ] {
        let time = |run: &dyn Fn() -> bool| {
            let start = Instant::now();
            assert!((0..ROUNDS).all(|_| run()));
            start.elapsed().as_nanos() / u128::from(ROUNDS)
        };
        let parsed = time(&|| classify(sql).is_ok());
        let cached = time(&|| cache.classify(sql).is_ok());
        println!("classify: {parsed} ns parsed, {cached} ns cached: {sql}");
    }
}

fn route(service: &str, table: &str, action: Action, access: Access) -> Route {
    Route {
        service: service.into(),
        table: table.into(),
        action,
        access,
        idempotent: false,
        max_staleness_ms: None,
    }
}

/// Service, workspace, table and action with the expected access or SQLSTATE.
type RouteCase =
    (&'static str, Option<&'static str>, &'static str, Action, Result<Access, &'static str>);

/// Guards against a workspace that uses a service of another workspace, and against an
/// index that disagrees with the scan.
#[test]
fn routes_match_workspace_and_access() {
    let mut view = ClusterView::default();
    view.desired.routes = vec![
        route("returns", "credits", Action::Insert, Access::Keyed),
        route("returns", "prices", Action::Select, Access::Open),
        route("jobs", "credits", Action::Select, Access::Keyed),
        route("returns", "prices", Action::Select, Access::Keyed),
    ];
    let spec = |services: &[&str]| WorkspaceSpec {
        services: services.iter().map(|service| Service::from(*service)).collect(),
        ..Default::default()
    };
    view.desired.workspaces =
        IndexMap::from([("a".into(), spec(&["returns"])), ("b".into(), spec(&["jobs"]))]);
    let index = RouteIndex::build(&view.desired);
    let cases: [RouteCase; 9] = [
        ("returns", Some("a"), "credits", Action::Insert, Ok(Access::Keyed)),
        ("returns", Some("b"), "credits", Action::Insert, Err("28000")),
        ("returns", None, "credits", Action::Insert, Err("28000")),
        ("returns", Some("a"), "credits", Action::Delete, Err("42501")),
        ("returns", None, "prices", Action::Select, Ok(Access::Open)),
        ("returns", Some("b"), "prices", Action::Select, Ok(Access::Open)),
        ("returns", Some("a"), "prices", Action::Select, Ok(Access::Keyed)),
        ("jobs", Some("missing"), "credits", Action::Select, Err("28000")),
        ("missing", Some("a"), "credits", Action::Select, Err("42501")),
    ];
    for (service, workspace, table, action, expected) in cases {
        let (service, workspace) = (Service::from(service), workspace.map(Workspace::from));
        let class = access(table, action);
        let scanned = find_route(&view, &service, workspace.as_ref(), &class);
        assert_eq!(scanned, index.find(&service, workspace.as_ref(), &class));
        let granted = scanned.map(|route| route.access).map_err(|error| error.code());
        assert_eq!(granted, expected, "{service} {workspace:?} {class:?}");
    }
    let begin = find_route(&view, &"returns".into(), None, &StatementClass::Begin);
    assert_eq!(begin, Err(RouteError::NoTable));
}
