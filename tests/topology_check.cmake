# Checks the topology with the program's --check: the example in deploy/ is valid and locates machines, and an invalid
# topology gives exit code 2 and one line on standard error with file and line.
set(SETTINGS ${DIR}/topology_settings_${CASE}.json)  # one file a case, since the cases run side by side
file(WRITE ${SETTINGS} [=[{"host_name": "n1", "zone": "a", "client_listen": "127.0.0.1:8080",
  "peer_listen": "127.0.0.1:8081", "peers": [],
  "services": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
  "cluster": {"zones": ["a"], "teams": [],
    "workers": {"report_s": 1, "lease_s": 10, "gang_wait_s": 20, "gang_peer_s": 3, "cancel_s": 30},
    "state": {"rps": 200, "write_rps": 40, "value_kb": 16, "txn_ops": 16},
    "cloud": {"rps": 4, "list_lag_s": 4}, "limits": {"max_sockets": 600}}}]=])
if(CASE STREQUAL "example")
  file(WRITE ${DIR}/topology_hosts.txt "m-1 10.1.0.7 small a\nm-2 10.1.1.70:80 small a\nm-3 10.9.9.9 small c\n")
  execute_process(COMMAND ${PROGRAM} --config ${SETTINGS} --tunables ${DEPLOY}/tunables.yaml --check
    --hosts ${DIR}/topology_hosts.txt RESULT_VARIABLE code OUTPUT_VARIABLE out ERROR_VARIABLE err)
  foreach(line "rack zone-a > switch-a1 > rack-a11\n    addr 10.1.0.0/26: 10.1.0.0 to 10.1.0.63, 64 machines at most"
      "m-1: zone-a > switch-a1 > rack-a11, 2 signer\n" "m-2: zone-a > switch-a2 > rack-a22\n"
      "m-3: no known domain\n")
    string(FIND "${out}" "${line}" at)
    if(NOT code EQUAL 0 OR at EQUAL -1)
      message(FATAL_ERROR "exit code ${code}, no '${line}' in: ${out}${err}")
    endif()
  endforeach()
else()
  file(WRITE ${DIR}/mistaken_topology.yaml "version: 1\nlevels: [rack]\ndomains:\n  r: {level: row}\n")
  file(WRITE ${DIR}/mistaken_tunables.yaml "topology: mistaken_topology.yaml\n")
  execute_process(COMMAND ${PROGRAM} --config ${SETTINGS} --tunables ${DIR}/mistaken_tunables.yaml --check
    RESULT_VARIABLE code ERROR_VARIABLE err OUTPUT_QUIET)
  string(FIND "${err}" "mistaken_topology.yaml:4: domains.r.level: 'row' is none of the levels\n" at)
  if(NOT code EQUAL 2 OR at EQUAL -1)
    message(FATAL_ERROR "exit code ${code}, standard error: ${err}")
  endif()
endif()
