package gatewayd

import "time"

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
