package org.plantainshunt.protocol;

import org.plantainshunt.result.ResultCode;

/** A connection with another node could not be made or cannot be continued. */
public class ProtocolException extends Exception {
    private final ResultCode code;

    /** Creates the exception. */
    public ProtocolException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates the exception with the failure that led to it. */
    public ProtocolException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the numbered reason. */
    public ResultCode code() {
        return code;
    }
}
