package org.coltsfootquay.router.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/** HTTP response encoder that omits the bodies of responses to HEAD requests. */
final class CallerResponseEncoder extends HttpResponseEncoder {

    private boolean headRequest;

    /**
     * Sets what the next response answers.
     *
     * @param headRequest whether it answers a HEAD request
     */
    void setHeadRequest(boolean headRequest) {
        this.headRequest = headRequest;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        return headRequest || super.isContentAlwaysEmpty(response);
    }
}
