package org.coltsfootquay.router.channel;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import java.util.Map;

/**
 * Rules for heads of requests that Netty does not check: a head that another parser may read differently, or that is
 * joined from two requests, is rejected.
 *
 * <p>These are heads with another version than HTTP/1, a transfer coding other than chunked, more than one host, a
 * method that consists of two, or a request line at the end of a header before the host. A request line in a later
 * header is permitted: if that header were the end of an incomplete head, the host would appear twice.
 */
public final class RequestHeadUtils {

    private static final String VERSION_PREFIX = " HTTP/1.";
    private static final List<String> METHODS =
            List.of("GET", "HEAD", "POST", "PUT", "DELETE", "CONNECT", "OPTIONS", "TRACE", "PATCH");

    private RequestHeadUtils() {}

    /**
     * Finds a fault in a decoded head.
     *
     * @param request decoded head
     * @return fault with its remedy; empty if there is none
     */
    public static String findFault(HttpRequest request) {
        if (request.protocolVersion().majorVersion() != 1) {
            return "the version " + request.protocolVersion().text() + " is not supported; send HTTP/1.1";
        }
        if (isJoinedMethod(request.method().name())) {
            return "the method " + request.method().name() + " consists of two; send each request completely";
        }
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()
                && (codings.size() > 1 || !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)))) {
            return "the transfer coding is not chunked; send the body chunked or with Content-Length";
        }
        if (request.headers().getAll(HttpHeaderNames.HOST).size() > 1) {
            return "request has more than one Host header; send exactly one";
        }
        for (Map.Entry<String, String> header : request.headers()) {
            if (HttpHeaderNames.HOST.contentEqualsIgnoreCase(header.getKey())) {
                break;
            }
            if (endsWithRequestLine(header.getValue())) {
                return "header " + header.getKey() + " ends with a request line; send each request completely";
            }
        }
        return "";
    }

    /** Returns whether a method consists of the beginning of a standard method and a second one. */
    private static boolean isJoinedMethod(String name) {
        for (String second : METHODS) {
            String first = name.endsWith(second) ? name.substring(0, name.length() - second.length()) : "";
            if (!first.isEmpty() && METHODS.stream().anyMatch(method -> method.startsWith(first))) {
                return true;
            }
        }
        return false;
    }

    private static boolean endsWithRequestLine(String value) {
        int version = value.lastIndexOf(VERSION_PREFIX);
        if (version < 0 || version + VERSION_PREFIX.length() + 1 != value.length()) {
            return false;
        }
        int target = value.lastIndexOf(' ', version - 1) + 1;
        return target > 1
                && Character.isUpperCase(value.charAt(target - 2))
                && (value.startsWith("/", target)
                        || value.substring(target, version).contains("://"));
    }
}
