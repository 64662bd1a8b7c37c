package org.plantainshunt.protocol;

import org.plantainshunt.result.ResultCode;

/** Thrown when a connection with another node cannot be established or must be closed. */
public class ProtocolException extends Exception {
    private final ResultCode code;

    /** Creates the exception without a cause. */
    public ProtocolException(ResultCode code, String message) {
        super(message);
        this.code = code;
    }

    /** Creates the exception with its cause. */
    public ProtocolException(ResultCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /** Returns the result code of the failure. */
    public ResultCode code() {
        return code;
    }
}
