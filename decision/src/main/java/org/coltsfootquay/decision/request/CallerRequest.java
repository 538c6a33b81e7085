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
 * Request that passed authentication and input validation.
 *
 * @param id identifier, unique in the fleet; never the identifier that the caller sent
 * @param workspace workspace
 * @param classOfWork class of work, from the configuration in force when the request arrived
 * @param kind kind of the service
 * @param estimatedInputUnits estimated service units of the input
 * @param estimatedOutputUnits estimated service units of the output
 * @param prefixHashes hashes of the prompt's prefixes, longest last; a hint for the choice of a server
 * @param streamed whether the caller receives the response in parts as they arrive
 * @param idempotency idempotency key and request digest; required for a class that is not idempotent
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
     * Copies the hashes and requires an idempotency key for a non-idempotent class.
     *
     * @throws IllegalArgumentException if the class is not idempotent and there is no key
     */
    public CallerRequest {
        ArgumentUtils.requireValue(id, "request id");
        ArgumentUtils.requireValue(classOfWork, "class of work");
        prefixHashes = List.copyOf(prefixHashes);
        if (!classOfWork.idempotent() && idempotency.isEmpty()) {
            throw new IllegalArgumentException("class of work " + classOfWork.name()
                    + " is not idempotent and requires the header Idempotency-Key");
        }
    }

    /**
     * Returns the service that the request is sent to.
     *
     * @return service
     */
    public ServiceName service() {
        return classOfWork.service();
    }

    /**
     * Returns whether the request must be executed at most once.
     *
     * @return true for a class that is not idempotent
     */
    public boolean atMostOnce() {
        return !classOfWork.idempotent();
    }

    /**
     * Key under which a non-idempotent request is recorded.
     *
     * @param key value of the header Idempotency-Key
     * @param digest digest of method, path and body
     */
    public record IdempotencyKey(String key, String digest) {

        /** Checks that neither component is blank. */
        public IdempotencyKey {
            ArgumentUtils.requireText(key, "idempotency key");
            ArgumentUtils.requireText(digest, "request digest");
        }
    }
}
