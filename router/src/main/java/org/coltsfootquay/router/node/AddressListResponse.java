package org.coltsfootquay.router.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;

/** Answer to callers that ask which addresses to use. */
final class AddressListResponse {

    private AddressListResponse() {}

    static String toJson(List<String> addresses, Duration keepFor) {
        ObjectNode page = JsonNodeFactory.instance.objectNode();
        addresses.forEach(page.putArray("addresses")::add);
        page.put("cacheSeconds", keepFor.toSeconds());
        return page.toString();
    }
}
