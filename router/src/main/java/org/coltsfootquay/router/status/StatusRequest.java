package org.coltsfootquay.router.status;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Request for a status page.
 *
 * @param query query parameters
 * @param callerHost IP address of the caller
 */
public record StatusRequest(Map<String, List<String>> query, String callerHost) {

    /**
     * Returns the first value of a query parameter.
     *
     * @param name name of the parameter
     * @return value, empty if it is absent or blank
     */
    public Optional<String> parameter(String name) {
        return query.getOrDefault(name, List.of()).stream().findFirst().filter(value -> !value.isBlank());
    }
}
