// Package evacuation holds the set of zones to whose endpoints no requests may be sent, as the operator has written it.
package evacuation
