package org.coltsfootquay.standin.application;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

/** Number of executions by idempotency key and by request id; may be read from any thread. */
public final class Executions {

    private final Map<String, Integer> byKey = new ConcurrentHashMap<>();
    private final Map<String, Integer> byRequestId = new ConcurrentHashMap<>();

    int note(String idempotencyKey, String requestId) {
        if (requestId != null) {
            byRequestId.merge(requestId, 1, Integer::sum);
        }
        return idempotencyKey == null ? 1 : byKey.merge(idempotencyKey, 1, Integer::sum);
    }

    /**
     * Returns how often requests with a key were executed.
     *
     * @param idempotencyKey value of {@code Idempotency-Key}
     * @return number of executions
     */
    public int ofKey(String idempotencyKey) {
        return byKey.getOrDefault(idempotencyKey, 0);
    }

    /**
     * Returns how often requests with an id were executed.
     *
     * @param requestId value of {@code X-Request-Id}
     * @return number of executions
     */
    public int ofRequestId(String requestId) {
        return byRequestId.getOrDefault(requestId, 0);
    }

    /**
     * Returns the executions of all keys, so that a test can add them up over several servers.
     *
     * @return number of executions by key
     */
    public Map<String, Integer> byKey() {
        return new TreeMap<>(byKey);
    }

    /**
     * Returns the keys that were executed more than once.
     *
     * @return number of executions by key
     */
    public Map<String, Integer> repeatedKeys() {
        return byKey.entrySet().stream()
                .filter(entry -> entry.getValue() > 1)
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Integer::sum, TreeMap::new));
    }
}
