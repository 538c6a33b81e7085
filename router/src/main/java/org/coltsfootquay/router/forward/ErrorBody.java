package org.coltsfootquay.router.forward;

import java.nio.charset.StandardCharsets;

/** Body of an answer that the router itself gives. */
final class ErrorBody {

    private ErrorBody() {}

    /** Returns a JSON body with a fixed reason and whether the request can have run. */
    static byte[] of(String reason, boolean notRun) {
        String text = "{\"error\":{\"code\":\"" + reason + "\",\"execution\":\"" + (notRun ? "not_run" : "unknown")
                + "\"}}\n";
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
