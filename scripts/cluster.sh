# Functions that start and stop a cluster on loopback; sourced by demo and scripts/experiment.
#
# Environment variables:
#   BIN            folder of the programs
#   CLUSTER        folder for keys, data and logs
#   BASE_PORT      lowest port (default 17000)
#   CONTROLS       number of control hosts (default 3)
#   ENTRIES        number of entry hosts (default 4)
#   DOMAINS        failure domains, separated by spaces; hosts and instances are spread over them
#   SERVICES       services, separated by spaces; each has three instances
#   ENTRY_FLAGS    further flags of the entry hosts
#   LAG_MS         replication lag of the stand-in databases (default 20)
#   CONNECT_DELAY_MS, CONNECTIONS, SLOTS, SERVICE_TIME_US
#                  flags of the stand-in databases (defaults 10, 15, 2, 0)

BASE_PORT=${BASE_PORT:-17000}
CONTROLS=${CONTROLS:-3}
ENTRIES=${ENTRIES:-4}
LAG_MS=${LAG_MS:-20}
CONNECT_DELAY_MS=${CONNECT_DELAY_MS:-10}
CONNECTIONS=${CONNECTIONS:-15}
SLOTS=${SLOTS:-2}
SERVICE_TIME_US=${SERVICE_TIME_US:-0}
PIDS=()

control_bus() { echo $((BASE_PORT + $1)); }
control_http() { echo $((BASE_PORT + 10 + $1)); }
entry_caller() { echo $((BASE_PORT + 100 + $1)); }
entry_peer() { echo $((BASE_PORT + 200 + $1)); }
entry_bus() { echo $((BASE_PORT + 300 + $1)); }
entry_http() { echo $((BASE_PORT + 400 + $1)); }
target_sql() { echo $((BASE_PORT + 500 + $1)); }
target_http() { echo $((BASE_PORT + 600 + $1)); }

start() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    "$@" >"$CLUSTER/$name.log" 2>&1 &
    PIDS+=($!)
    echo $! >"$CLUSTER/$name.pid"
}

write_keys() {
    mkdir -p "$CLUSTER"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$CLUSTER/host.key"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$CLUSTER/announcement.key"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$CLUSTER/target.password"
    head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$CLUSTER/operator.token"
    POMELOPIN_OPERATOR_TOKEN=$(cat "$CLUSTER/operator.token")
    export POMELOPIN_OPERATOR_TOKEN
}

control_hosts() {
    local addrs="" i
    for ((i = 1; i <= CONTROLS; i++)); do addrs+="${addrs:+,}control-$i=127.0.0.1:$(control_bus "$i")"; done
    echo "$addrs"
}

start_control() { # NUMBER
    start "control-$1" "$BIN/pomelopin-control" --host "control-$1" \
        --control-hosts "$(control_hosts)" --bus-listen "127.0.0.1:$(control_bus "$1")" \
        --http-listen "127.0.0.1:$(control_http "$1")" --data-folder "$CLUSTER/data-$1" \
        --host-key-file "$CLUSTER/host.key" --token-file "$CLUSTER/operator.token"
}

start_entry() { # NUMBER
    local domains=($DOMAINS)
    start "entry-$1" "$BIN/pomelopin-entry" --host "entry-$1" \
        --failure-domain "${domains[$((($1 - 1) % ${#domains[@]}))]}" \
        --caller-listen "127.0.0.1:$(entry_caller "$1")" --peer-listen "127.0.0.1:$(entry_peer "$1")" \
        --bus-listen "127.0.0.1:$(entry_bus "$1")" --http-listen "127.0.0.1:$(entry_http "$1")" \
        --control-hosts "$(control_hosts)" --host-key-file "$CLUSTER/host.key" \
        --announcement-key-file "$CLUSTER/announcement.key" \
        --target-password-file "$CLUSTER/target.password" ${ENTRY_FLAGS:-}
}

start_targets() {
    local domains=($DOMAINS) services=($SERVICES) service index=0 replica i
    local announce=()
    for ((i = 1; i <= ENTRIES; i++)); do announce+=(--announce-to "127.0.0.1:$(entry_http "$i")"); done
    for service in "${services[@]}"; do
        for replica in 0 1 2; do
            local peers=() other
            for other in 0 1 2; do
                [ "$other" = "$replica" ] && continue
                peers+=(--peer "$service-$other=127.0.0.1:$(target_http $((index - replica + other)))")
            done
            local primary=()
            [ "$replica" = 0 ] && primary=(--primary)
            start "$service-$replica" "$BIN/pomelopin-target" --name "$service-$replica" \
                --service "$service" \
                --failure-domain "${domains[$(((index / 3 + replica) % ${#domains[@]}))]}" \
                --sql-listen "127.0.0.1:$(target_sql $index)" \
                --http-listen "127.0.0.1:$(target_http $index)" "${peers[@]}" "${primary[@]}" \
                --password-file "$CLUSTER/target.password" --slots "$SLOTS" \
                --service-time-us "$SERVICE_TIME_US" --connections "$CONNECTIONS" \
                --connect-delay-ms "$CONNECT_DELAY_MS" --lag-ms "$LAG_MS" "${announce[@]}" \
                --announcement-key-file "$CLUSTER/announcement.key"
            index=$((index + 1))
        done
    done
}

start_cluster() {
    local i
    write_keys
    for ((i = 1; i <= CONTROLS; i++)); do start_control "$i"; done
    for ((i = 1; i <= ENTRIES; i++)); do start_entry "$i"; done
    start_targets
}

operator() {
    local addrs="" i
    for ((i = 1; i <= CONTROLS; i++)); do addrs+="${addrs:+,}127.0.0.1:$(control_http "$i")"; done
    local command=$1
    shift
    "$BIN/pomelopin" "$command" --control "$addrs" "$@"
}

# Signals one process of the cluster and waits until it exits.
stop() { # NAME [SIGNAL]
    kill "-${2:-TERM}" "$(cat "$CLUSTER/$1.pid")" 2>/dev/null
    wait "$(cat "$CLUSTER/$1.pid")" 2>/dev/null
}

# Stops all processes of the cluster by process id, entry hosts first.
stop_cluster() {
    local pid file
    for file in "$CLUSTER"/entry-*.pid; do kill "$(cat "$file")" 2>/dev/null; done
    for file in "$CLUSTER"/entry-*.pid; do wait "$(cat "$file")" 2>/dev/null; done
    for pid in "${PIDS[@]}"; do kill "$pid" 2>/dev/null; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
    PIDS=()
}

wait_for() { # SECONDS COMMAND...
    local deadline=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        [ $SECONDS -ge $deadline ] && return 1
        sleep 0.2
    done
}
