package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Utilities for HTTP headers. */
public final class HeaderUtils {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "content-length");

    private HeaderUtils() {}

    /**
     * Copies end-to-end headers; omits hop-by-hop headers and the body length.
     *
     * @param headers headers as received
     * @return new headers
     */
    public static HttpHeaders copyEndToEnd(HttpHeaders headers) {
        Set<String> connectionOptions = new HashSet<>();
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",", -1)) {
                connectionOptions.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !connectionOptions.contains(name)) {
                copy.add(header.getKey(), header.getValue());
            }
        }
        return copy;
    }

    /**
     * Returns the media type of a body without its parameters.
     *
     * @param headers headers as received
     * @return type in lower case, empty if there is none
     */
    static String mediaType(HttpHeaders headers) {
        String type = headers.get(HttpHeaderNames.CONTENT_TYPE, "");
        int parameters = type.indexOf(';');
        return (parameters < 0 ? type : type.substring(0, parameters)).strip().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether only the end of the connection shows that the body of a response is complete.
     *
     * @param response status line and headers
     * @return true if the body is not chunked, has no length and may be present
     */
    static boolean endsWithConnection(HttpResponse response) {
        boolean bodyless = response.status().equals(HttpResponseStatus.NO_CONTENT)
                || response.status().equals(HttpResponseStatus.NOT_MODIFIED);
        return !bodyless && !HttpUtil.isTransferEncodingChunked(response) && !HttpUtil.isContentLengthSet(response);
    }
}
