package org.coltsfootquay.router.forward;

import java.nio.charset.StandardCharsets;

/** Body of an error response that the router itself creates. */
final class ErrorResponseBody {

    private ErrorResponseBody() {}

    /** Returns a JSON body with an error code, whether the request may have been executed, and advice to the caller. */
    static byte[] of(String code, boolean notExecuted, String message) {
        String json = "{\"error\":{\"code\":\"" + code + "\",\"execution\":\"" + (notExecuted ? "not_run" : "unknown")
                + "\",\"message\":\"" + message + "\"}}\n";
        return json.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the body for a request that must not be repeated, since a part of its prompt crashes servers. */
    static byte[] ofQuarantinedPart(String code, boolean notExecuted) {
        return of(
                code,
                notExecuted,
                "a part of the prompt crashes servers; do not repeat this request, change its prompt");
    }

    /** Returns a JSON body with an error code and whether the request may have been executed. */
    static byte[] of(String code, boolean notExecuted) {
        String json = "{\"error\":{\"code\":\"" + code + "\",\"execution\":\"" + (notExecuted ? "not_run" : "unknown")
                + "\"}}\n";
        return json.getBytes(StandardCharsets.UTF_8);
    }
}
