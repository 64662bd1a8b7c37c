package org.plantainshunt.call;

import org.plantainshunt.result.ResultCode;

/** Creates a span for each hop of a call. Safe for use by any thread. */
@FunctionalInterface
public interface HopTracer {
    /** Starts a span as a child of the given W3C trace parent, which may be empty. */
    Hop begin(String role, String service, String kind, String traceParent);

    /** Returns a tracer that writes no spans and passes the trace parent on. */
    static HopTracer off() {
        return (role, service, kind, traceParent) -> new Hop() {
            @Override
            public String traceParent() {
                return traceParent;
            }

            @Override
            public void end(String requestId, ResultCode code) {}
        };
    }

    /** A started span. */
    interface Hop {
        /** Returns the W3C trace parent for the next hop, or an empty string. */
        String traceParent();

        /** Ends the span with the request's id and its result; further calls have no effect. */
        void end(String requestId, ResultCode code);
    }
}
