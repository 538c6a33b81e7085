package org.coltsfootquay.decision.request;

import java.util.List;
import java.util.Optional;
import org.coltsfootquay.decision.common.ArgumentUtils;
import org.coltsfootquay.decision.common.RequestId;
import org.coltsfootquay.decision.common.ServiceName;
import org.coltsfootquay.decision.common.WorkspaceId;
import org.coltsfootquay.decision.configuration.ClassOfWork;
import org.coltsfootquay.decision.configuration.ServiceKind;

/**
 * Request of a caller that passed authentication and the checks of its input.
 *
 * @param id identifier, unique over the fleet; never the caller's own identifier
 * @param workspace workspace
 * @param classOfWork class of work, from the configuration the request started with
 * @param kind kind of the service
 * @param estimatedInputUnits estimated service units of the input
 * @param estimatedOutputUnits estimated service units of the output
 * @param prefixHashes hashes of the prompt's prefixes, longest last; a hint
 * @param streamed whether the caller receives the answer in parts as they arrive
 * @param idempotency key and digest; required for a class that is not idempotent
 */
public record CallerRequest(
        RequestId id,
        WorkspaceId workspace,
        ClassOfWork classOfWork,
        ServiceKind kind,
        long estimatedInputUnits,
        long estimatedOutputUnits,
        List<Long> prefixHashes,
        boolean streamed,
        Optional<IdempotencyKey> idempotency) {

    /**
     * Copies the hashes and checks the key.
     *
     * @throws IllegalArgumentException if the class is not idempotent and there is no key
     */
    public CallerRequest {
        ArgumentUtils.requireValue(id, "request id");
        ArgumentUtils.requireValue(classOfWork, "class of work");
        prefixHashes = List.copyOf(prefixHashes);
        if (!classOfWork.idempotent() && idempotency.isEmpty()) {
            throw new IllegalArgumentException(
                    "class " + classOfWork.name() + " is not idempotent; pass the header Idempotency-Key");
        }
    }

    /**
     * Returns the service the request goes to.
     *
     * @return service
     */
    public ServiceName service() {
        return classOfWork.service();
    }

    /**
     * Tells whether the request must run at most once.
     *
     * @return true for a class that is not idempotent
     */
    public boolean atMostOnce() {
        return !classOfWork.idempotent();
    }

    /**
     * Key under which a non-idempotent request is recorded.
     *
     * @param key value of the caller's header
     * @param digest digest of method, path and body
     */
    public record IdempotencyKey(String key, String digest) {

        /** Checks the parts. */
        public IdempotencyKey {
            ArgumentUtils.requireText(key, "idempotency key");
            ArgumentUtils.requireText(digest, "request digest");
        }
    }
}
