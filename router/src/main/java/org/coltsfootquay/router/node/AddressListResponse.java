package org.coltsfootquay.router.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** Response to callers that request the addresses of routers. */
final class AddressListResponse {

    private AddressListResponse() {}

    static String toJson(List<String> addresses, Duration cacheTime) {
        ObjectNode response = JsonNodeFactory.instance.objectNode();
        addresses.forEach(response.putArray("addresses")::add);
        response.put("cacheSeconds", cacheTime.toSeconds());
        return response.toString();
    }
}
