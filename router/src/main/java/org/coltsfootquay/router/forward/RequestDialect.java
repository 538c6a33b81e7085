package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/** Names of the headers that callers, routers and backend servers exchange. */
public interface RequestDialect {

    /**
     * Reads a caller's request.
     *
     * @param request request line and headers
     * @return what they say
     * @throws MalformedRequestException if a header cannot be understood
     */
    RequestMetadata readRequest(HttpRequest request) throws MalformedRequestException;

    /**
     * Makes the headers of a request to a server.
     *
     * <p>Headers that only the router may set, the key, and headers of the caller's connection are left out.
     *
     * @param callerHeaders headers of the caller
     * @param facts what the router says
     * @return new headers without a body length
     */
    HttpHeaders serverHeaders(HttpHeaders callerHeaders, ForwardMetadata facts);

    /**
     * Reads a server's answer.
     *
     * @param response status line and headers
     * @return what they say
     */
    ResponseMetadata readResponse(HttpResponse response);
}
